/**
 * Bounds repeated calls to a service over a sliding window.
 *
 * All VMs share one bound and none knows what the others send, so each spends
 * only a share of it.
 *
 * @module
 */

export interface RetryBudgetLimits {
  readonly windowMs: number;
  /** Repeats for each request in the window, over all VMs. */
  readonly ratio: number;
  /** Repeats beyond these in the window, over all VMs. */
  readonly slack: number;
}

/** Part of the bound that is spent, as clocks and windows differ. */
const SAFE_SHARE = 0.7;

/**
 * The budget of one service at one VM.
 *
 * @example
 * ```ts
 * budget.noteRequest(nowMs);
 * if (budget.tryRepeat(nowMs)) sendAgain();
 * ```
 */
export class SlidingRetryBudget {
  readonly #limits: () => RetryBudgetLimits;
  /** Part of the slack that this VM may spend. */
  readonly #share: () => number;
  #requests: number[] = [];
  #repeats: number[] = [];

  constructor(limits: () => RetryBudgetLimits, share: () => number) {
    this.#limits = limits;
    this.#share = share;
  }

  noteRequest(nowMs: number): void {
    this.#forgetOld(nowMs);
    this.#requests.push(nowMs);
  }

  /** Spends one repeat; false when the budget is used up. */
  tryRepeat(nowMs: number): boolean {
    this.#forgetOld(nowMs);
    const { ratio, slack } = this.#limits();
    const allowed = SAFE_SHARE *
      (ratio * this.#requests.length + slack * this.#share());
    if (this.#repeats.length + 1 > allowed) return false;
    this.#repeats.push(nowMs);
    return true;
  }

  #forgetOld(nowMs: number): void {
    const sinceMs = nowMs - this.#limits().windowMs;
    this.#requests = dropBefore(this.#requests, sinceMs);
    this.#repeats = dropBefore(this.#repeats, sinceMs);
  }
}

function dropBefore(times: number[], sinceMs: number): number[] {
  const first = times[0];
  if (first === undefined || first >= sinceMs) return times;
  return times.filter((timeMs) => timeMs >= sinceMs);
}
