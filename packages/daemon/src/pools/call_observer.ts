/**
 * Derives warm-up states and latency baselines from this daemon's own calls.
 *
 * @module
 */

import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import { poolKey } from "@sassafrasstage/protocol/ids";
import type { ColdSignSender } from "./cold_sign_sender.js";
import type { HeldPermit } from "./held_permits.js";
import {
  gradeLatency,
  type LatencyBaselines,
  latencySample,
} from "./latency_baseline.js";
import type { PoolContext } from "./pool_context.js";
import { signOf, type WarmUpLog } from "./warm_up_log.js";

export interface CallObserverOptions {
  readonly context: PoolContext;
  readonly warmUpState: WarmUpLog;
  readonly coldSigns: ColdSignSender;
  readonly baselines: LatencyBaselines;
}

/** Updates the warm-up log and the latency baselines, and reports cold servers. */
export class CallObserver {
  readonly #options: CallObserverOptions;

  constructor(options: CallObserverOptions) {
    this.#options = options;
  }

  recordRelease(held: HeldPermit, release: PermitRelease, nowMs: number): void {
    const { permit } = held;
    const { context, warmUpState, baselines } = this.#options;
    const sign = signOf({
      permit,
      release,
      grantedAtMs: held.heldFromMs,
      nowMs,
    });
    const isCompleted = release.outcome === "completed";
    if (sign !== undefined && isCompleted) {
      warmUpState.note(permit.backendServerId, sign);
    } else if (sign !== undefined) this.#reportCold(held, nowMs);
    const entry = context.layout().pools.get(poolKey(permit.pool));
    if (entry === undefined || !isCompleted) return;
    const sampleMs = latencySample(entry.service, release);
    if (sampleMs === undefined || permit.warmUpState === "cold") return;
    const { name } = entry.service;
    // Too slow for the baseline. The owner decides whether it was a cold start:
    // it can compare with the pool's other servers.
    if (gradeLatency(sampleMs, baselines.of(name)) === "coldStart") return;
    baselines.note(name, sampleMs);
  }

  /** Reports a cold start on a slow first token, before the call has ended. */
  noteFirstToken(held: HeldPermit, firstTokenMs: number, nowMs: number): void {
    const { context, baselines } = this.#options;
    const { service } = held.permit.pool;
    const entry = context.layout().pools.get(poolKey(held.permit.pool));
    if (entry?.service.kind !== "modelEngine") return;
    if (held.permit.warmUpState === "cold") return;
    const grade = gradeLatency(firstTokenMs, baselines.of(service));
    if (grade === "coldStart") this.#reportCold(held, nowMs);
  }

  #reportCold({ permit }: HeldPermit, nowMs: number): void {
    const { coldSigns } = this.#options;
    coldSigns.send(permit.pool, permit.backendServerId, nowMs);
  }
}
