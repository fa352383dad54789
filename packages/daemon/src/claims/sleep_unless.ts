/**
 * A pause that can be cut short.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/**
 * Resolves after the time, or at once when the signal aborts.
 *
 * @example
 * ```ts
 * await sleepUnless(250, signal);
 * ```
 */
export async function sleepUnless(
  ms: number,
  signal: AbortSignal,
): Promise<undefined> {
  try {
    await sleep(ms, undefined, { signal });
  } catch {
    // Aborted: the caller looks at the signal.
  }
}
