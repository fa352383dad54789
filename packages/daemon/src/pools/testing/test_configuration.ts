/**
 * Configurations, settings and permit requests for tests of the pools.
 *
 * @module
 */

import {
  checkConfiguration,
  type Configuration,
} from "@sassafrasstage/protocol/configuration";
import {
  type AttemptId,
  type BackendServerId,
  type ClientAccountId,
  type DataCentreName,
  type PoolId,
  type RequestId,
  type ServiceName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { PermitRequest } from "@sassafrasstage/protocol/permits";
import { type Settings, settingsSchema } from "../../settings/settings.js";

export interface TestLayout {
  /** Number of backend servers in each data centre. */
  readonly servers: Readonly<Record<string, number>>;
  readonly warmLimit?: number;
  readonly coldLimit?: number;
  readonly warmAfterCompletions?: number;
  readonly deadlineMs?: number;
  readonly dataCentresOut?: readonly string[];
  readonly backendServersOut?: readonly string[];
  readonly generation?: number;
}

const ACCOUNT_SHARES = { small: 1, large: 1, heavy: 3 } as const;

/**
 * Creates a configuration with one service, "generate", in the given data
 * centres. Servers are named "{dataCentre}-{number}", numbered from 1.
 *
 * @example
 * ```ts
 * makeConfiguration({ servers: { palermo: 2 } });
 * ```
 */
export function makeConfiguration(layout: TestLayout): Configuration {
  const dataCentres = Object.keys(layout.servers);
  const check = checkConfiguration({
    register: {
      dataCentres: dataCentres.map((name) => ({ name, region: "test" })),
      models: [],
      services: [{
        name: "generate",
        kind: "plain",
        warmLimit: layout.warmLimit ?? 8,
        coldLimit: layout.coldLimit ?? 1,
        warmAfterCompletions: layout.warmAfterCompletions ?? 3,
      }],
      backendServers: dataCentres.flatMap((dataCentre) =>
        Array.from({ length: layout.servers[dataCentre] ?? 0 }, (_, index) => ({
          id: `${dataCentre}-${index + 1}`,
          service: "generate",
          dataCentre,
          vmId: `host-${dataCentre}-${index + 1}`,
          url: "http://127.0.0.1:1",
        }))
      ),
    },
    rules: {
      pipelines: [{
        name: "draft",
        urgency: "counter",
        deadlineMs: layout.deadlineMs ?? 2000,
        stages: [
          { name: "write", service: "generate", operation: "completions" },
        ],
      }],
      clientAccounts: Object.entries(ACCOUNT_SHARES).map(([id, share]) => ({
        id,
        share,
        keySha256: ["0".repeat(60) + Buffer.from(id).toString("hex").slice(-4)],
      })),
      dataCentresOut: layout.dataCentresOut ?? [],
      backendServersOut: layout.backendServersOut ?? [],
    },
  });
  if (check.kind === "invalid") throw new Error(JSON.stringify(check.faults));
  return { generation: layout.generation ?? 1, ...check.content };
}

/**
 * Creates settings with all defaults.
 *
 * @example
 * ```ts
 * makeSettings({ vmId: "vm-1", dataCentre: "palermo" });
 * ```
 */
export function makeSettings(vm: {
  readonly vmId: string;
  readonly dataCentre: string;
}): Settings {
  return settingsSchema.parse({
    vm: { id: vm.vmId, data_centre: vm.dataCentre },
    listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
    peers: { shared_key: "0123456789abcdef" },
    platform: { url: "http://127.0.0.1:1" },
    admin: { key_sha256: "0".repeat(64) },
  });
}

export interface TestPermitRequest {
  readonly dataCentre?: string;
  readonly account?: keyof typeof ACCOUNT_SHARES;
  readonly urgency?: "counter" | "deferrable";
  readonly latestStartInMs?: number;
  readonly deadlineInMs?: number;
  readonly likelyDurationMs?: number;
  readonly excluded?: readonly BackendServerId[];
}

let requestNumber = 0;

/**
 * Creates a permit request for the service "generate" with a new attempt id.
 *
 * @example
 * ```ts
 * makePermitRequest({ account: "small", latestStartInMs: 500 });
 * ```
 */
export function makePermitRequest(
  permitRequest: TestPermitRequest = {},
): PermitRequest {
  requestNumber += 1;
  return {
    pool: makePool(permitRequest.dataCentre ?? "palermo"),
    requestId: toId<RequestId>(`request-${requestNumber}`),
    attemptId: toId<AttemptId>(`attempt-${requestNumber}`),
    clientAccountId: toId<ClientAccountId>(permitRequest.account ?? "small"),
    urgency: permitRequest.urgency ?? "counter",
    latestStartInMs: permitRequest.latestStartInMs ?? 1500,
    deadlineInMs: permitRequest.deadlineInMs ?? 2000,
    likelyDurationMs: permitRequest.likelyDurationMs ?? 100,
    excluded: permitRequest.excluded ?? [],
  };
}

/**
 * Returns the pool of the service "generate" in a data centre.
 *
 * @example
 * ```ts
 * makePool("palermo");
 * ```
 */
export function makePool(dataCentre: string): PoolId {
  return {
    service: toId<ServiceName>("generate"),
    dataCentre: toId<DataCentreName>(dataCentre),
  };
}

/**
 * Converts a string to a VM id.
 *
 * @example
 * ```ts
 * makeVmId("vm-1");
 * ```
 */
export function makeVmId(text: string): VmId {
  return toId<VmId>(text);
}
