/**
 * Records outcomes, with retries until they are stored.
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
import { abortableSleep } from "./abortable_sleep.js";

const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 2000;
/** Time limit of one attempt to record an outcome. */
const ATTEMPT_TIMEOUT_MS = 10_000;

export interface OutcomeRecorderOptions {
  readonly router: ClaimRouter;
  readonly attempts: ActiveAttempts;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Retries until the outcome is recorded or `flush` has finished. */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;
  readonly #pendingRecordings = new Set<Promise<boolean>>();
  readonly #stopController = new AbortController();

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /** Resolves to true when recorded, or to false when given up. */
  record(claim: HeldClaim, outcome: ClaimOutcome): Promise<boolean> {
    const recording = this.#recordWithRetries(claim, outcome);
    this.#pendingRecordings.add(recording);
    void recording.finally(() => this.#pendingRecordings.delete(recording));
    return recording;
  }

  async flush(timeoutMs: number): Promise<void> {
    const timeoutController = new AbortController();
    await Promise.race([
      Promise.all(this.#pendingRecordings),
      abortableSleep(timeoutMs, timeoutController.signal),
    ]);
    timeoutController.abort();
    this.#stopController.abort();
  }

  async #recordWithRetries(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): Promise<boolean> {
    const { router, attempts, clock, metrics } = this.#options;
    let waitMs = MIN_RETRY_MS;
    while (!this.#stopController.signal.aborted) {
      const result = await router.commit({
        kind: "settle",
        key: claim.key,
        hash: hashClaimKey(claim.key),
        attemptId: claim.attemptId,
        outcome,
        expiresAtMs: clock.nowMs() + ATTEMPT_TIMEOUT_MS,
      });
      if (result.kind === "recorded") {
        attempts.end(claim.attemptId);
        return true;
      }
      metrics.countEvent("claimOutcomeRetried");
      await abortableSleep(waitMs, this.#stopController.signal);
      waitMs = Math.min(waitMs * 2, MAX_RETRY_MS);
    }
    return false;
  }
}
