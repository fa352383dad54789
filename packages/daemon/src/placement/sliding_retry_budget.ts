/**
 * Limits retries to a service over a sliding window.
 *
 * All VMs share one limit and do not know how much of it the others use, so
 * each VM uses only its share.
 *
 * @module
 */

import { RetryPrecedence } from "../overload/retry_precedence.js";

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
  readonly #precedence = new RetryPrecedence();
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
    return this.#retryTimes.length + 1 <= this.#allowedRetries();
  }

  /**
   * Uses one retry of the budget; returns false if it is exhausted.
   *
   * @param worth What the caller loses without a retry; if it is known, the last
   *   retries are kept for those who lose most
   */
  tryRetry(nowMs: number, worth?: number): boolean {
    const hasRetry = this.hasRetry(nowMs);
    // Claims count also while no retry is left: they compete for the next one.
    if (worth !== undefined && !this.#hasPrecedence(worth, nowMs)) return false;
    if (!hasRetry) return false;
    this.#retryTimes.push(nowMs);
    return true;
  }

  #hasPrecedence(worth: number, nowMs: number): boolean {
    const allowed = this.#allowedRetries();
    return this.#precedence.mayRetry(worth, {
      leftShare: allowed <= 0 ? 0 : 1 - this.#retryTimes.length / allowed,
      refillPerMs: allowed / this.#limits().windowMs,
    }, nowMs);
  }

  #allowedRetries(): number {
    const { ratio, slack } = this.#limits();
    return LIMIT_SAFETY_FACTOR *
      (ratio * this.#requestTimes.length + slack * this.#slackShare());
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
