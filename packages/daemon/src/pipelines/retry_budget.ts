/**
 * Bounds how much load retries and hedges may add to a service.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";

const MAX_SAVED_RETRIES = 20;
const FIRST_RETRIES = 3;

/**
 * Each first attempt earns a part of a retry; each retry spends a whole one.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget(10);
 * budget.earn(service);
 * if (budget.trySpend(service)) retry();
 * ```
 */
export class RetryBudget {
  readonly #earnedForEach: number;
  readonly #saved = new Map<ServiceName, number>();

  /** @param percent Retries for each 100 first attempts. */
  constructor(percent: number) {
    this.#earnedForEach = percent / 100;
  }

  earn(service: ServiceName): void {
    const saved = this.#savedOf(service) + this.#earnedForEach;
    this.#saved.set(service, Math.min(MAX_SAVED_RETRIES, saved));
  }

  trySpend(service: ServiceName): boolean {
    const saved = this.#savedOf(service);
    if (saved < 1) return false;
    this.#saved.set(service, saved - 1);
    return true;
  }

  #savedOf(service: ServiceName): number {
    return this.#saved.get(service) ??
      (this.#earnedForEach > 0 ? FIRST_RETRIES : 0);
  }
}
