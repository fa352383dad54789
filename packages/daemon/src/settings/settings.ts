/**
 * Schema of the daemon's settings file: keys, formats and defaults.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import {
  dataCentreNameSchema,
  vmIdSchema,
} from "@sassafrasstage/protocol/register";
import { z } from "zod";
import { LOG_LEVELS } from "../observability/logger.js";

/** A TCP address to listen on or to connect to. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Another entry VM that is listed in the settings. */
export interface PeerSeed {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: Address;
}

const MAX_PORT = 65_535;

const addressSchema = z.string().transform((text, context): Address => {
  const match = /^(?<host>.+):(?<port>\d{1,5})$/.exec(text);
  const host = match?.groups?.["host"];
  const port = Number(match?.groups?.["port"]);
  if (host !== undefined && port <= MAX_PORT) return { host, port };
  context.addIssue({ code: "custom", message: "Expected host:port" });
  return z.NEVER;
});

const seedSchema = z.string().transform((text, context): PeerSeed => {
  const [vmId, dataCentre, address] = text.split("@");
  const parsed = z.strictObject({
    vmId: vmIdSchema,
    dataCentre: dataCentreNameSchema,
    address: addressSchema,
  }).safeParse({ vmId, dataCentre, address });
  if (parsed.success) return parsed.data;
  context.addIssue({
    code: "custom",
    message: "Expected vm-id@data-centre@host:port",
  });
  return z.NEVER;
});

const seedListSchema = z.string()
  .transform((text) => text.split(",").map((part) => part.trim()))
  .transform((parts) => parts.filter((part) => part !== ""))
  .pipe(z.array(seedSchema));

const sha256Schema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "Expected 64 lower-case hexadecimal digits",
);

function wholeNumber(min: number, max: number): z.ZodCoercedNumber {
  return z.coerce.number().int().min(min).max(max);
}

/** The schema of a settings file: one object per INI section. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: vmIdSchema,
    data_centre: dataCentreNameSchema,
    /** Local address of outgoing connections; chosen by the kernel by default. */
    source_address: z.union([z.ipv4(), z.ipv6()]).optional(),
  }),
  listen: z.strictObject({
    /** Address for clients, operators, probes and metrics. */
    http: addressSchema,
    /** Address for connections from other daemons. */
    peers: addressSchema,
    /** Longest wait at the start for a port that is held. */
    port_wait_ms: wholeNumber(0, 600_000).default(15_000),
  }),
  peers: z.strictObject({
    /** Authenticates this daemon to other daemons of the system. */
    shared_key: z.string().min(16, "Expected at least 16 characters"),
    seeds: seedListSchema.prefault(""),
    heartbeat_interval_ms: wholeNumber(20, 10_000).default(200),
    /** Time without a message after which a peer counts as silent. */
    heartbeat_timeout_ms: wholeNumber(100, 60_000).default(1000),
  }),
  platform: z.strictObject({
    url: z.url({ protocol: /^https?$/ }),
    call_timeout_ms: wholeNumber(50, 60_000).default(2000),
    max_calls_in_flight: wholeNumber(1, 1000).default(16),
  }),
  admin: z.strictObject({
    key_sha256: sha256Schema,
  }),
  requests: z.strictObject({
    max_body_bytes: wholeNumber(1024, 64_000_000).default(1_000_000),
  }).prefault({}),
  policy: z.strictObject({
    /** "baseline" shares no limits between daemons; for comparisons only. */
    name: z.enum(["current", "baseline"]).default("current"),
    queue_order: z.enum(["slack", "arrival", "deadline", "excessWait"])
      .default("slack"),
    /** Whether owners prefer servers that have cached the request's prefix. */
    prefix_affinity: z.enum(["on", "off"]).default("off"),
  }).prefault({}),
  pools: z.strictObject({
    /** How long a pool owner may act after a majority has confirmed it. */
    lease_ms: wholeNumber(200, 60_000).default(1500),
    max_queue_length: wholeNumber(1, 1_000_000).default(2000),
    max_queue_age_ms: wholeNumber(10, 600_000).default(30_000),
    /** Allowed retries per 100 first attempts of a service. */
    retry_budget_percent: wholeNumber(0, 100).default(10),
  }).prefault({}),
  claims: z.strictObject({
    partitions: wholeNumber(1, 4096).default(16),
    gather_min_ms: wholeNumber(0, 1000).default(2),
    gather_max_ms: wholeNumber(0, 5000).default(200),
  }).prefault({}),
  shutdown: z.strictObject({
    /** Time the listener stays open for the load balancer to notice. */
    accept_for_ms: wholeNumber(0, 120_000).default(2000),
    /** Maximum time to wait for requests in flight. */
    drain_ms: wholeNumber(0, 600_000).default(60_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(LOG_LEVELS).default("info"),
  }).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
