/**
 * Limits retries to a service over a sliding window.
 *
 * All VMs share one limit and do not know how much of it the others use, so
 * each VM uses only its share.
 *
 * @module
 */

export interface RetryBudgetLimits {
  readonly windowMs: number;
  /** Retries allowed per request in the window, over all VMs. */
  readonly ratio: number;
  /** Retries allowed on top of that in the window, over all VMs. */
  readonly slack: number;
}

/**
 * Fraction of the limit that is used; the rest allows for differences in clocks
 * and windows.
 */
const LIMIT_SAFETY_FACTOR = 0.7;

/**
 * Retry budget of one service on one VM.
 *
 * @example
 * ```ts
 * budget.recordRequest(nowMs);
 * if (budget.tryRetry(nowMs)) sendAgain();
 * ```
 */
export class SlidingRetryBudget {
  readonly #limits: () => RetryBudgetLimits;
  /** Fraction of the slack that this VM may use. */
  readonly #slackShare: () => number;
  #requestTimes: number[] = [];
  #retryTimes: number[] = [];

  constructor(limits: () => RetryBudgetLimits, share: () => number) {
    this.#limits = limits;
    this.#slackShare = share;
  }

  recordRequest(nowMs: number): void {
    this.#dropExpired(nowMs);
    this.#requestTimes.push(nowMs);
  }

  /** Whether a retry is left. */
  hasRetry(nowMs: number): boolean {
    this.#dropExpired(nowMs);
    const { ratio, slack } = this.#limits();
    const allowed = LIMIT_SAFETY_FACTOR *
      (ratio * this.#requestTimes.length + slack * this.#slackShare());
    return this.#retryTimes.length + 1 <= allowed;
  }

  /** Uses one retry of the budget; returns false if it is exhausted. */
  tryRetry(nowMs: number): boolean {
    if (!this.hasRetry(nowMs)) return false;
    this.#retryTimes.push(nowMs);
    return true;
  }

  #dropExpired(nowMs: number): void {
    const sinceMs = nowMs - this.#limits().windowMs;
    this.#requestTimes = dropBefore(this.#requestTimes, sinceMs);
    this.#retryTimes = dropBefore(this.#retryTimes, sinceMs);
  }
}

function dropBefore(times: number[], sinceMs: number): number[] {
  const first = times[0];
  if (first === undefined || first >= sinceMs) return times;
  return times.filter((timeMs) => timeMs >= sinceMs);
}
