/**
 * After a pause of the process its configuration may be old: a data centre may
 * have been taken out meanwhile. Nothing is granted until another daemon has
 * told its generation since.
 *
 * @module
 */

import type { Member } from "../peers/peer_network.js";

/** A daemon that hears nobody for so long goes on with what it has. */
export const CONFIRM_TIMEOUT_MS = 1000;

/** What a daemon knows of the present generation. */
export interface KnownGenerations {
  readonly own: number;
  /** Members count as silent after a pause until they answer anew. */
  readonly members: readonly Member[];
}

/**
 * @example
 * ```ts
 * check.notePause(nowMs);
 * if (!check.isConfirmed({ own, members }, nowMs)) return NO_RIGHTS;
 * ```
 */
export class ResumeCheck {
  #pausedUntilMs: number | undefined;

  notePause(nowMs: number): void {
    this.#pausedUntilMs = nowMs;
  }

  isConfirmed(known: KnownGenerations, nowMs: number): boolean {
    if (this.#pausedUntilMs === undefined) return true;
    const isWaiting = nowMs < this.#pausedUntilMs + CONFIRM_TIMEOUT_MS;
    if (isWaiting && !isNewest(known)) return false;
    this.#pausedUntilMs = undefined;
    return true;
  }
}

/** False where nobody was heard. */
function isNewest(known: KnownGenerations): boolean {
  const heard = known.members.filter((member) =>
    !member.isSelf && member.state === "live"
  );
  return heard.length > 0 &&
    heard.every((member) => member.generation <= known.own);
}
