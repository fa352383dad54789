/**
 * Records outcomes, for as long as it takes.
 *
 * @module
 */

import type { ClaimOutcome } from "@sassafrasstage/protocol/claims";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import type { ActiveAttempts } from "./active_attempts.js";
import { hashClaimKey } from "./claim_hash.js";
import type { HeldClaim } from "./claim_store.js";
import type { ClaimRouter } from "./claim_router.js";
import { sleepUnless } from "./sleep_unless.js";

const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 2000;
/** One try of an outcome that the caller no longer waits for. */
const TRY_MS = 10_000;

export interface OutcomeRecorderOptions {
  readonly router: ClaimRouter;
  readonly attempts: ActiveAttempts;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Tries again until the outcome is recorded or the keeper is flushed. */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;
  readonly #underWay = new Set<Promise<boolean>>();
  readonly #stopped = new AbortController();

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /** Resolves to true when recorded, to false when given up. */
  record(claim: HeldClaim, outcome: ClaimOutcome): Promise<boolean> {
    const recording = this.#tryUntilRecorded(claim, outcome);
    this.#underWay.add(recording);
    void recording.finally(() => this.#underWay.delete(recording));
    return recording;
  }

  async flush(timeoutMs: number): Promise<void> {
    const timer = new AbortController();
    await Promise.race([
      Promise.all(this.#underWay),
      sleepUnless(timeoutMs, timer.signal),
    ]);
    timer.abort();
    this.#stopped.abort();
  }

  async #tryUntilRecorded(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): Promise<boolean> {
    const { router, attempts, clock, metrics } = this.#options;
    let waitMs = MIN_RETRY_MS;
    while (!this.#stopped.signal.aborted) {
      const result = await router.commit({
        kind: "settle",
        key: claim.key,
        hash: hashClaimKey(claim.key),
        attemptId: claim.attemptId,
        outcome,
        expiresAtMs: clock.nowMs() + TRY_MS,
      });
      if (result.kind === "recorded") {
        attempts.end(claim.attemptId);
        return true;
      }
      metrics.countEvent("claimOutcomeRetried");
      await sleepUnless(waitMs, this.#stopped.signal);
      waitMs = Math.min(waitMs * 2, MAX_RETRY_MS);
    }
    return false;
  }
}
