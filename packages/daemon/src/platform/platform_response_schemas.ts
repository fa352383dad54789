/**
 * Schemas of the platform's responses. A response that doesn't match its schema
 * is rejected.
 *
 * @module
 */

import {
  dataCentreNameSchema,
  vmIdSchema,
} from "@sassafrasstage/protocol/register";
import { z } from "zod";

const versionSchema = z.int().nonnegative();

export const storedObjectSchema = z.object({
  key: z.string(),
  version: versionSchema,
  value: z.unknown(),
});

export const objectVersionSchema = z.object({ version: versionSchema });

export const objectListingSchema = z.object({
  revision: versionSchema,
  objects: z.array(storedObjectSchema),
});

const watchEventSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("updated"), object: storedObjectSchema }),
  z.object({
    kind: z.literal("deleted"),
    key: z.string(),
    version: versionSchema,
  }),
]);

export const watchResponseSchema = z.object({
  revision: versionSchema,
  events: z.array(watchEventSchema),
});

const listedVmSchema = z.object({
  vmId: vmIdSchema,
  dataCentre: dataCentreNameSchema,
  role: z.enum(["entry", "backendServer"]),
  state: z.enum(["live", "leaving"]),
  peerAddress: z.string().exactOptional(),
});

export const vmListingSchema = z.object({ vms: z.array(listedVmSchema) });
