/**
 * Learns from the calls that this daemon itself made.
 *
 * @module
 */

import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import { poolKey } from "@sassafrasstage/protocol/ids";
import type { HeldPermit } from "./held_permits.js";
import {
  gradeLatency,
  type LatencyBaselines,
  latencySample,
} from "./latency_baseline.js";
import type { PoolContext } from "./pool_context.js";
import { signOf, type WarmthLog } from "./warmth_log.js";

export interface CallObserverOptions {
  readonly context: PoolContext;
  readonly warmth: WarmthLog;
  readonly baselines: LatencyBaselines;
}

/** Feeds the warmth log and the latency baselines. */
export class CallObserver {
  readonly #options: CallObserverOptions;

  constructor(options: CallObserverOptions) {
    this.#options = options;
  }

  note(held: HeldPermit, release: PermitRelease, nowMs: number): void {
    const { permit } = held;
    const { context, warmth, baselines } = this.#options;
    const sign = signOf({
      permit,
      release,
      grantedAtMs: held.heldFromMs,
      nowMs,
    });
    if (sign !== undefined) warmth.note(permit.backendServerId, sign);
    const entry = context.layout().pools.get(poolKey(permit.pool));
    if (entry === undefined || release.outcome !== "completed") return;
    const sampleMs = latencySample(entry.service, release);
    if (sampleMs === undefined || permit.warmth === "cold") return;
    const { name } = entry.service;
    if (gradeLatency(sampleMs, baselines.of(name)) === "coldStart") {
      warmth.note(permit.backendServerId, { warmth: "cold", seenAtMs: nowMs });
      return;
    }
    baselines.note(name, sampleMs);
  }
}
