/**
 * Measures the cost of a pool at its owner by the number of backend servers.
 *
 * @module
 */

import { LatencyBaselines } from "@sassafrasstage/daemon/pools/latency_baseline";
import { OwnedPool } from "@sassafrasstage/daemon/pools/owned_pool";
import {
  buildPoolLayout,
  readVmAvailability,
} from "@sassafrasstage/daemon/pools/pool_layout";
import {
  type AttemptId,
  type PermitId,
  type PoolId,
  poolKey,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { Permit, PermitRequest } from "@sassafrasstage/protocol/permits";
import { measureHeapBytes } from "./heap_size.js";
import { measureProcessorUs } from "./processor_time.js";
import type { SlopeSeries } from "./slope_series.js";
import { DESIGN_SIZE, makeContent } from "./synthetic_configuration.js";

const POOL_SIZES: readonly number[] = [8, 32, 128, 512];
const REPEATS = 20_000;
const MEASURED_POOL_COUNT = 20;
const REQUESTER = toId<VmId>("vm-1");
const POOL: PoolId = {
  service: toId("generator-0"),
  dataCentre: toId("dc-0"),
};

/**
 * Measures pools of four sizes, without peer messages.
 *
 * @example
 * ```ts
 * console.log(formatSlopes(measurePoolSlopes()));
 * ```
 */
export function measurePoolSlopes(): SlopeSeries[] {
  return [
    {
      name: "choose a backend server, grant and release",
      unit: "µs of processor",
      sizeName: "backend servers of the pool",
      points: POOL_SIZES.map((size) => ({
        size,
        value: measureGrantUs(size),
      })),
    },
    {
      name: "an owner's memory of a pool",
      unit: "bytes",
      sizeName: "backend servers of the pool",
      points: POOL_SIZES.map((size) => ({
        size,
        value: measureHeapBytes(() =>
          Array.from(
            { length: MEASURED_POOL_COUNT },
            () => new MeasuredPool(size),
          )
        ) / MEASURED_POOL_COUNT,
      })),
    },
  ];
}

function measureGrantUs(size: number): number {
  const measured = new MeasuredPool(size);
  return measureProcessorUs(() => {
    measured.grantAndRelease();
  }, REPEATS);
}

/** An owned pool in which each permit request is granted and released. */
class MeasuredPool {
  readonly #pool: OwnedPool;
  #granted: Permit | undefined;
  #serial = 0;
  #nowMs = 0;

  constructor(size: number) {
    const content = makeContent({
      ...DESIGN_SIZE,
      dataCentres: 1,
      models: 1,
      clientAccounts: 0,
      engines: size,
    });
    const layout = buildPoolLayout({ generation: 1, ...content });
    const entry = layout.pools.get(poolKey(POOL));
    if (entry === undefined) throw new Error("The pool is not in the layout");
    this.#pool = new OwnedPool({
      entry,
      queueOrder: "slack",
      hasPrefixAffinity: false,
      maxQueueLength: 2000,
      maxQueueAgeMs: 30_000,
      withheldForMs: () => 0,
      baselines: new LatencyBaselines(),
      nextPermitId: () => toId<PermitId>(`permit-${this.#serial}`),
      rightsAt: () => ({ mayGrantCold: true, warm: { kind: "full" } }),
      decide: (_, __, decision) => {
        if (decision.kind === "granted") this.#granted = decision.permit;
      },
      isGone: () => false,
      onCooled: () => undefined,
      onStateChanged: () => undefined,
      onEvent: () => undefined,
    });
    const vms = readVmAvailability(undefined);
    this.#pool.configure(entry, { layout, vms, nowMs: 0 });
  }

  grantAndRelease(): void {
    this.#serial += 1;
    this.#nowMs += 1;
    this.#granted = undefined;
    const incomingRequest = {
      from: REQUESTER,
      permitRequest: makePermitRequest(this.#serial),
      share: 1,
    };
    this.#pool.submit(incomingRequest, this.#nowMs);
    const { permitId, backendServerId } = this.#getGrantedPermit();
    this.#pool.release(
      { permitId, backendServerId, outcome: "completed", durationMs: 50 },
      this.#nowMs,
    );
  }

  #getGrantedPermit(): Permit {
    if (this.#granted === undefined) throw new Error("Permit was not granted");
    return this.#granted;
  }
}

function makePermitRequest(serial: number): PermitRequest {
  return {
    pool: POOL,
    requestId: toId(`request-${serial}`),
    attemptId: toId<AttemptId>(`attempt-${serial}`),
    clientAccountId: toId("account-1"),
    urgency: "deferrable",
    latestStartInMs: 1500,
    deadlineInMs: 2000,
    likelyDurationMs: 100,
    excluded: [],
  };
}
