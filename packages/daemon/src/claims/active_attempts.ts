/**
 * The attempts of this process that may run or still be under way.
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
 * Remembers each attempt from before its claim is sent until its outcome is
 * recorded or it was given up.
 */
export class ActiveAttempts {
  readonly #holder: string;
  readonly #attempts = new Map<AttemptId, ActiveAttempt>();

  /** @param holder this process, as its claims name it */
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

  /** Tells those who wait in this process how the attempt ended. */
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
   * Whether the claim was made by this process for an attempt that was given
   * up before it was told that it holds the claim. Nothing has run then, and
   * nothing will: only this process could have run it.
   */
  isAbandoned(record: ClaimRecord): boolean {
    return record.state === "running" && record.holder === this.#holder &&
      !this.#attempts.has(record.attemptId);
  }
}
