/**
 * Stands in until claims are recorded in the platform.
 *
 * @module
 */

import type { ClaimKeeper } from "./claim_keeper.js";

const RETRY_AFTER_MS = 1000;

/**
 * A keeper that makes no claim, so that no keyed request is run.
 *
 * @example
 * ```ts
 * const claims = createUnavailableClaimKeeper();
 * ```
 */
export function createUnavailableClaimKeeper(): ClaimKeeper {
  return {
    claim: () =>
      Promise.resolve({
        kind: "unavailable",
        detail: "Claims can't be recorded yet",
        retryAfterMs: RETRY_AFTER_MS,
      }),
    recordOutcome: () => Promise.resolve(false),
    flush: () => Promise.resolve(),
  };
}
