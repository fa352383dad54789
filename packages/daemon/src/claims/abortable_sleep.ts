/**
 * A sleep that an abort signal ends early.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/**
 * Resolves after the given time, or at once when the signal aborts.
 *
 * @example
 * ```ts
 * await abortableSleep(250, signal);
 * ```
 */
export async function abortableSleep(
  ms: number,
  signal: AbortSignal,
): Promise<undefined> {
  try {
    await sleep(ms, undefined, { signal });
  } catch {
    // Aborted: the caller checks the signal.
  }
}
