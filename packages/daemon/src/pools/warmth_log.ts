/**
 * The latest sign of warmth or cold start that this daemon knows of each
 * backend server, its own and other daemons'.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { WarmthObservation } from "@sassafrasstage/protocol/peer_messages";
import type { Permit, PermitRelease } from "@sassafrasstage/protocol/permits";

export interface WarmthSign {
  readonly warmth: "cold" | "warm";
  readonly seenAtMs: number;
}

/** The freshest sign wins. */
export class WarmthLog {
  readonly #signs = new Map<BackendServerId, WarmthSign>();

  of(id: BackendServerId): WarmthSign | undefined {
    return this.#signs.get(id);
  }

  /** Whether the sign is fresher than what was known. */
  note(id: BackendServerId, sign: WarmthSign): boolean {
    const known = this.#signs.get(id);
    if (known !== undefined && known.seenAtMs >= sign.seenAtMs) return false;
    this.#signs.set(id, sign);
    return true;
  }

  observations(
    ids: Iterable<BackendServerId>,
    nowMs: number,
  ): WarmthObservation[] {
    const found: WarmthObservation[] = [];
    for (const id of ids) {
      const sign = this.#signs.get(id);
      if (sign === undefined) continue;
      found.push({
        backendServerId: id,
        warmth: sign.warmth,
        ageMs: Math.max(0, nowMs - sign.seenAtMs),
      });
    }
    return found;
  }
}

export interface EndedCall {
  readonly permit: Permit;
  readonly release: PermitRelease;
  readonly grantedAtMs: number;
  readonly nowMs: number;
}

/**
 * What the end of a call shows. A completion speaks for the time at which the
 * call was granted, a failure for the present.
 *
 * @example
 * ```ts
 * const sign = signOf({ permit, release, grantedAtMs, nowMs });
 * ```
 */
export function signOf(call: EndedCall): WarmthSign | undefined {
  switch (call.release.outcome) {
    case "completed":
      return { warmth: call.permit.warmth, seenAtMs: call.grantedAtMs };
    case "connectFailed":
    case "refusedByServer":
    case "failed":
      return { warmth: "cold", seenAtMs: call.nowMs };
    case "notSent":
    case "timedOut":
    case "canceled":
      return undefined;
  }
}
