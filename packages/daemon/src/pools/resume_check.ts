/**
 * Checks the configuration after a pause of the process. It may be outdated: a
 * data centre may have been taken out of service meanwhile. Nothing is granted
 * until another daemon has reported its configuration generation since then and
 * this daemon's own one is at least as new.
 *
 * @module
 */

import type { Member } from "../peers/peer_network.js";

/** Time after a pause until an unconfirmed configuration is used anyway. */
export const CONFIRMATION_TIMEOUT_MS = 1000;

/** The configuration generations that a daemon knows of. */
export interface KnownGenerations {
  readonly own: number;
  /** After a pause, members count as silent until they answer again. */
  readonly members: readonly Member[];
}

/**
 * Tracks whether the configuration has been confirmed since the latest pause.
 *
 * @example
 * ```ts
 * check.recordPause(nowMs);
 * if (!check.isConfirmed({ own, members }, nowMs)) return NO_RIGHTS;
 * ```
 */
export class ResumeCheck {
  #resumedAtMs: number | undefined;

  recordPause(nowMs: number): void {
    this.#resumedAtMs = nowMs;
  }

  isConfirmed(known: KnownGenerations, nowMs: number): boolean {
    if (this.#resumedAtMs === undefined) return true;
    const isWaiting = nowMs < this.#resumedAtMs + CONFIRMATION_TIMEOUT_MS;
    if (isWaiting && !isOwnGenerationNewest(known)) return false;
    this.#resumedAtMs = undefined;
    return true;
  }
}

/** False if no other daemon is live. */
function isOwnGenerationNewest(known: KnownGenerations): boolean {
  const liveMembers = known.members.filter((member) =>
    !member.isSelf && member.state === "live"
  );
  return liveMembers.length > 0 &&
    liveMembers.every((member) => member.generation <= known.own);
}
