/**
 * Whole requests among the suspects, by their digest.
 *
 * @module
 */

import { type SuspectId, toId } from "@sassafrasstage/protocol/ids";

/** The ids of prompt parts hold no colon. */
const PREFIX = "request:";

/**
 * Returns the suspect that stands for all requests with the digest.
 *
 * @example
 * ```ts
 * const suspect = toRequestSuspect(requestDigest(context));
 * ```
 */
export function toRequestSuspect(digest: string): SuspectId {
  return toId<SuspectId>(PREFIX + digest);
}

export function isRequestSuspect(suspect: SuspectId): boolean {
  return suspect.startsWith(PREFIX);
}
