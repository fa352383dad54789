/**
 * Derives warm-up states and latency baselines from this daemon's own calls.
 *
 * @module
 */

import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import { poolKey } from "@sassafrasstage/protocol/ids";
import type { ColdStartNotifier } from "./cold_start_notifier.js";
import type { HeldPermit } from "./held_permits.js";
import {
  gradeLatency,
  type LatencyBaselines,
  latencySample,
} from "./latency_baseline.js";
import type { PoolContext } from "./pool_context.js";
import { warmUpRecordOf, type WarmUpTracker } from "./warm_up_tracker.js";

export interface CallObserverOptions {
  readonly context: PoolContext;
  readonly warmUpTracker: WarmUpTracker;
  readonly coldStartNotifier: ColdStartNotifier;
  readonly baselines: LatencyBaselines;
}

/** Updates the warm-up tracker and the latency baselines, and reports cold starts. */
export class CallObserver {
  readonly #options: CallObserverOptions;

  constructor(options: CallObserverOptions) {
    this.#options = options;
  }

  recordRelease(held: HeldPermit, release: PermitRelease, nowMs: number): void {
    const { permit } = held;
    const { context, warmUpTracker, baselines } = this.#options;
    const record = warmUpRecordOf({
      permit,
      release,
      grantedSinceMs: held.requestedAtMs,
      nowMs,
    });
    const isCompleted = release.outcome === "completed";
    if (record !== undefined && isCompleted) {
      warmUpTracker.recordOwnCall(permit.backendServerId, record);
    } else if (record !== undefined) this.#reportCold(held, nowMs);
    const entry = context.layout().pools.get(poolKey(permit.pool));
    if (entry === undefined || !isCompleted) return;
    const sampleMs = latencySample(entry.service, release);
    if (sampleMs === undefined || permit.warmUpState === "cold") return;
    const { name } = entry.service;
    // Too slow for the baseline. The owner decides whether it was a cold start:
    // it can compare with the pool's other servers.
    if (gradeLatency(sampleMs, baselines.get(name)) === "coldStart") return;
    baselines.addSample(name, sampleMs);
  }

  /** Reports a cold start on a slow first token, before the call has ended. */
  recordFirstToken(
    held: HeldPermit,
    firstTokenMs: number,
    nowMs: number,
  ): void {
    const { context, baselines } = this.#options;
    const { service } = held.permit.pool;
    const entry = context.layout().pools.get(poolKey(held.permit.pool));
    if (entry?.service.kind !== "modelEngine") return;
    if (held.permit.warmUpState === "cold") return;
    const grade = gradeLatency(firstTokenMs, baselines.get(service));
    if (grade === "coldStart") this.#reportCold(held, nowMs);
  }

  #reportCold({ permit }: HeldPermit, nowMs: number): void {
    const { coldStartNotifier } = this.#options;
    coldStartNotifier.notify(permit.pool, permit.backendServerId, nowMs);
  }
}
