/**
 * Decides who gets one of the last retries of a budget.
 *
 * Load pattern: a service fails widely, and the retries that are left don't
 * suffice for all requests that want one.
 *
 * @module
 */

/** While at least this part of the budget is left, everyone gets a retry. */
const UNRESTRICTED_SHARE = 0.5;
/** Claims that are compared. */
const MAX_CLAIMS = 64;
/** With fewer claims, there is no competition. */
const MIN_CLAIMS = 8;
const MAX_CLAIM_AGE_MS = 5000;

interface Claim {
  readonly worth: number;
  readonly atMs: number;
}

export interface RetrySupply {
  /** Part of the budget that is left. */
  readonly leftShare: number;
  /** Retries that become available per millisecond. */
  readonly refillPerMs: number;
}

/** One per retry budget. */
export class RetryPrecedence {
  #claims: Claim[] = [];

  /**
   * Whether a request of this worth may use a retry. If there are more claims
   * than retries, the request has to be among those that are worth most. Equal
   * claims are treated equally, so that nothing is left without a better use.
   */
  mayRetry(worth: number, supply: RetrySupply, nowMs: number): boolean {
    this.#claims = this.#claims
      .filter(({ atMs }) => nowMs - atMs < MAX_CLAIM_AGE_MS)
      .slice(1 - MAX_CLAIMS);
    this.#claims.push({ worth, atMs: nowMs });
    const count = this.#claims.length;
    if (supply.leftShare >= UNRESTRICTED_SHARE) return true;
    if (count < MIN_CLAIMS) return true;
    const spanMs = nowMs - (this.#claims[0]?.atMs ?? nowMs);
    const grantable = Math.min(count, supply.refillPerMs * spanMs);
    const worths = this.#claims.map((claim) => claim.worth)
      .sort((a, b) => b - a);
    const lowest = worths[Math.max(0, Math.ceil(grantable) - 1)] ?? 0;
    return worth >= lowest;
  }
}
