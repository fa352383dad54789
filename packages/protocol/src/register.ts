/**
 * The asset register: data centres, models, services and backend servers.
 *
 * @module
 */

import { z } from "zod";
import {
  type BackendServerId,
  type DataCentreName,
  type ServiceName,
  toId,
  type VmId,
} from "./ids.js";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** The schema of names in the register and the rules. */
export const nameSchema = z.string().regex(
  NAME_PATTERN,
  "Expected 1 to 63 of a-z, 0-9, '.', '_' and '-'",
);

export const dataCentreNameSchema = nameSchema.transform((text) =>
  toId<DataCentreName>(text)
);
export const serviceNameSchema = nameSchema.transform((text) =>
  toId<ServiceName>(text)
);
export const backendServerIdSchema = nameSchema.transform((text) =>
  toId<BackendServerId>(text)
);
export const vmIdSchema = nameSchema.transform((text) => toId<VmId>(text));

const dataCentreSchema = z.strictObject({
  name: dataCentreNameSchema,
  region: nameSchema,
});

const modelSchema = z.strictObject({
  name: nameSchema,
});

const serviceLimitsShape = {
  /** Maximum number of calls in flight at one warm backend server. */
  warmLimit: z.int().min(1).max(4096),
  /** Maximum number of calls in flight at one cold backend server. */
  coldLimit: z.int().min(1).max(4096),
  /** Healthy completions after which a cold server counts as warm. */
  warmAfterCompletions: z.int().min(1).max(10_000).default(20),
  /** Idle time after which a warm server counts as cold again. */
  coldAfterIdleMs: z.int().min(1000).max(86_400_000).default(600_000),
};

const modelEngineServiceSchema = z.strictObject({
  name: serviceNameSchema,
  kind: z.literal("modelEngine"),
  model: nameSchema,
  ...serviceLimitsShape,
});

const plainServiceSchema = z.strictObject({
  name: serviceNameSchema,
  kind: z.literal("plain"),
  ...serviceLimitsShape,
});

const serviceSchema = z.discriminatedUnion("kind", [
  modelEngineServiceSchema,
  plainServiceSchema,
]);

const backendServerSchema = z.strictObject({
  id: backendServerIdSchema,
  service: serviceNameSchema,
  dataCentre: dataCentreNameSchema,
  /** The VM that hosts the server, by its id in the platform's VM list. */
  vmId: vmIdSchema,
  url: z.url({ protocol: /^https?$/ }),
});

export const registerSchema = z.strictObject({
  dataCentres: z.array(dataCentreSchema).min(1).max(64),
  models: z.array(modelSchema).max(1000),
  services: z.array(serviceSchema).min(1).max(1000),
  backendServers: z.array(backendServerSchema).max(20_000),
});

export type DataCentre = z.infer<typeof dataCentreSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type Register = z.infer<typeof registerSchema>;
