/**
 * Tracks the attempts of this process that may run or are still running.
 *
 * @module
 */

import type {
  ClaimOutcome,
  ClaimRecord,
} from "@sassafrasstage/protocol/claims";
import type { AttemptId } from "@sassafrasstage/protocol/ids";

interface ActiveAttempt {
  readonly deadlineAtMs: number;
  outcome: ClaimOutcome | undefined;
  readonly listeners: ((outcome: ClaimOutcome) => void)[];
}

/**
 * Keeps each attempt from before its claim is sent until its outcome is
 * recorded or the attempt is given up.
 */
export class ActiveAttempts {
  readonly #holder: string;
  readonly #attempts = new Map<AttemptId, ActiveAttempt>();

  /** @param holder identifies this process in its claims, see `formatHolder` */
  constructor(holder: string) {
    this.#holder = holder;
  }

  begin(attemptId: AttemptId, deadlineAtMs: number): void {
    this.#attempts.set(attemptId, {
      deadlineAtMs,
      outcome: undefined,
      listeners: [],
    });
  }

  end(attemptId: AttemptId): void {
    this.#attempts.delete(attemptId);
  }

  /** Notifies the requests of this process that wait for the attempt. */
  settle(attemptId: AttemptId, outcome: ClaimOutcome): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) return;
    attempt.outcome = outcome;
    for (const listener of attempt.listeners) listener(outcome);
  }

  deadlineAtMs(attemptId: AttemptId): number | undefined {
    return this.#attempts.get(attemptId)?.deadlineAtMs;
  }

  /** Resolves when the attempt has ended; `undefined` if it isn't active. */
  outcomeOf(attemptId: AttemptId): Promise<ClaimOutcome> | undefined {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) return undefined;
    if (attempt.outcome !== undefined) return Promise.resolve(attempt.outcome);
    return new Promise((resolve) => {
      attempt.listeners.push(resolve);
    });
  }

  /**
   * Whether this process made the claim for an attempt that was given up before
   * it learned that it holds the claim. Such an attempt has not run and never
   * will, because only this process could have run it.
   */
  isAbandoned(record: ClaimRecord): boolean {
    return record.state === "running" && record.holder === this.#holder &&
      !this.#attempts.has(record.attemptId);
  }
}
