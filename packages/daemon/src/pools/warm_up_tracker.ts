/**
 * The latest warm-up state observed of each backend server, by this daemon or
 * by others.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { WarmUpObservation } from "@sassafrasstage/protocol/peer_messages";
import type { Permit, PermitRelease } from "@sassafrasstage/protocol/permits";

export interface WarmUpRecord {
  readonly warmUpState: "cold" | "warm";
  readonly seenAtMs: number;
}

/** Keeps the most recent record of each backend server. */
export class WarmUpTracker {
  readonly #records = new Map<BackendServerId, WarmUpRecord>();
  #resumedAtMs = -Infinity;

  get(id: BackendServerId): WarmUpRecord | undefined {
    return this.#records.get(id);
  }

  /** Returns whether the record is newer than the known one. */
  recordIfNewer(id: BackendServerId, record: WarmUpRecord): boolean {
    const known = this.#records.get(id);
    if (known !== undefined && known.seenAtMs >= record.seenAtMs) return false;
    this.#records.set(id, record);
    return true;
  }

  /** Records the end of this daemon's own call; see `recordPause`. */
  recordOwnCall(id: BackendServerId, record: WarmUpRecord): void {
    const isFromBeforePause = record.seenAtMs < this.#resumedAtMs;
    if (isFromBeforePause && record.warmUpState === "warm") return;
    this.recordIfNewer(id, record);
  }

  /**
   * Must be called after a pause of the process. Its own observations that
   * servers were warm don't count any more, since others may have seen a cold
   * start meanwhile without being able to tell it.
   */
  recordPause(nowMs: number): void {
    this.#resumedAtMs = nowMs;
    for (const [id, record] of this.#records) {
      if (record.warmUpState === "warm") this.#records.delete(id);
    }
  }

  observations(
    ids: Iterable<BackendServerId>,
    nowMs: number,
  ): WarmUpObservation[] {
    const found: WarmUpObservation[] = [];
    for (const id of ids) {
      const record = this.#records.get(id);
      if (record === undefined) continue;
      found.push({
        backendServerId: id,
        warmUpState: record.warmUpState,
        ageMs: Math.max(0, nowMs - record.seenAtMs),
      });
    }
    return found;
  }
}

export interface EndedCall {
  readonly permit: Permit;
  readonly release: PermitRelease;
  /** The call was granted at this time or later. */
  readonly grantedSinceMs: number;
  readonly nowMs: number;
}

/**
 * The warm-up state that the end of a call shows. A completion shows the state
 * at the time when the call was granted, a failure the current state.
 *
 * @example
 * ```ts
 * const record = warmUpRecordOf({ permit, release, grantedSinceMs, nowMs });
 * ```
 */
export function warmUpRecordOf(call: EndedCall): WarmUpRecord | undefined {
  switch (call.release.outcome) {
    case "completed":
      return {
        warmUpState: call.permit.warmUpState,
        seenAtMs: call.grantedSinceMs,
      };
    case "connectFailed":
    case "refusedByServer":
    case "failed":
      return { warmUpState: "cold", seenAtMs: call.nowMs };
    case "notSent":
    case "timedOut":
    case "canceled":
      return undefined;
  }
}
