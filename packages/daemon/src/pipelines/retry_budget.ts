/**
 * Limits the load that retries and hedged calls add to a service.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";

const MAX_BALANCE = 20;
const INITIAL_BALANCE = 3;

/**
 * Each first attempt deposits a fraction of a retry; each retry withdraws one.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget(10);
 * budget.deposit(service);
 * if (budget.tryWithdraw(service)) retry();
 * ```
 */
export class RetryBudget {
  readonly #depositPerAttempt: number;
  readonly #balances = new Map<ServiceName, number>();

  /** @param percent Retries allowed per 100 first attempts. */
  constructor(percent: number) {
    this.#depositPerAttempt = percent / 100;
  }

  deposit(service: ServiceName): void {
    const balance = this.#balanceOf(service) + this.#depositPerAttempt;
    this.#balances.set(service, Math.min(MAX_BALANCE, balance));
  }

  tryWithdraw(service: ServiceName): boolean {
    const balance = this.#balanceOf(service);
    if (balance < 1) return false;
    this.#balances.set(service, balance - 1);
    return true;
  }

  #balanceOf(service: ServiceName): number {
    return this.#balances.get(service) ??
      (this.#depositPerAttempt > 0 ? INITIAL_BALANCE : 0);
  }
}
