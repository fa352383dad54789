/**
 * Test helpers that run several peer networks in one process.
 *
 * @module
 */

import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PermitRequestMessage,
} from "@sassafrasstage/protocol/peer_messages";
import { setTimeout as sleep } from "node:timers/promises";
import { type Clock, MONOTONIC_CLOCK } from "../../clock.js";
import type { Logger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import {
  type Address,
  type Settings,
  settingsSchema,
} from "../../settings/settings.js";
import type { MemberState } from "../peer_network.js";
import {
  type RunningPeerNetwork,
  startPeerNetwork,
} from "../start_peer_network.js";

const POLL_MS = 10;
/**
 * Long enough for a busy machine: tests check conditions, not how long they
 * take to hold.
 */
const WAIT_LIMIT_MS = 15_000;

export const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

export interface TestVmOptions {
  readonly vmId: string;
  readonly dataCentre?: string;
  readonly incarnation?: string;
  readonly sharedKey?: string;
  readonly port?: number;
  readonly seeds?: readonly TestSeed[];
  readonly clock?: Clock;
  readonly heartbeatIntervalMs?: number;
  readonly heartbeatTimeoutMs?: number;
}

export interface TestSeed {
  readonly vmId: string;
  readonly address: Address;
  readonly dataCentre?: string;
}

export interface TestVm {
  readonly vmId: VmId;
  readonly network: RunningPeerNetwork;
  readonly metrics: Metrics;
}

/**
 * Starts a peer network on a free port unless a port is given.
 *
 * @example
 * ```ts
 * const a = await startTestVm({ vmId: "a" });
 * ```
 */
export async function startTestVm(options: TestVmOptions): Promise<TestVm> {
  const metrics = new Metrics();
  const network = await startPeerNetwork({
    settings: makeTestSettings(options),
    incarnation: toId<Incarnation>(options.incarnation ?? "incarnation-1"),
    clock: options.clock ?? MONOTONIC_CLOCK,
    metrics,
    logger: SILENT_LOGGER,
  });
  return { vmId: toId<VmId>(options.vmId), network, metrics };
}

function makeTestSettings(options: TestVmOptions): Settings {
  const seeds = (options.seeds ?? []).map((seed) =>
    `${seed.vmId}@${seed.dataCentre ?? "palermo"}@` +
    `${seed.address.host}:${seed.address.port}`
  );
  return settingsSchema.parse({
    vm: { id: options.vmId, data_centre: options.dataCentre ?? "palermo" },
    listen: {
      http: "127.0.0.1:0",
      peers: `127.0.0.1:${options.port ?? 0}`,
    },
    peers: {
      shared_key: options.sharedKey ?? "a shared key for tests",
      seeds: seeds.join(","),
      heartbeat_interval_ms: options.heartbeatIntervalMs ?? 40,
      heartbeat_timeout_ms: options.heartbeatTimeoutMs ?? 400,
    },
    platform: { url: "http://127.0.0.1:1" },
    admin: { key_sha256: "0".repeat(64) },
  });
}

export function stateOf(vm: TestVm, vmId: string): MemberState | undefined {
  return vm.network.view(MONOTONIC_CLOCK.nowMs()).members
    .find((member) => member.vmId === vmId)?.state;
}

/**
 * Waits until the condition holds; throws if it doesn't within the time limit.
 *
 * @example
 * ```ts
 * await waitUntil(() => stateOf(a, "b") === "live", "b is live at a");
 * ```
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  label: string,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_LIMIT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) throw new Error(`Timed out: ${label}`);
    await sleep(POLL_MS);
  }
}

/**
 * Returns the current value of a counter for the given label value.
 *
 * @example
 * ```ts
 * await countOf(vm, "drops_total", "badFrame");
 * ```
 */
export async function countOf(
  vm: TestVm,
  name: string,
  label: string,
): Promise<number> {
  const metric = vm.metrics.registry.getSingleMetric(`sassafrasstage_${name}`);
  const values = (await metric?.get())?.values ?? [];
  const found = values.find((value) =>
    Object.values(value.labels).includes(label)
  );
  return found?.value ?? 0;
}

/** Makes a message that tests identify by its attempt id. */
export function makePermitRequest(attemptId: string): PermitRequestMessage {
  const message = {
    type: "permitRequest",
    permitRequest: {
      pool: {
        service: toId("generator"),
        dataCentre: toId<DataCentreName>("palermo"),
      },
      requestId: toId("request-1"),
      attemptId: toId(attemptId),
      clientAccountId: toId("account-1"),
      urgency: "counter",
      latestStartInMs: 100,
      deadlineInMs: 500,
      likelyDurationMs: 50,
      excluded: [],
    },
  } satisfies PeerMessage;
  return message;
}
