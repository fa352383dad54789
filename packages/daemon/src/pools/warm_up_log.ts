/**
 * The latest sign of warmth or cold start that this daemon knows of each
 * backend server, its own and other daemons'.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { WarmUpObservation } from "@sassafrasstage/protocol/peer_messages";
import type { Permit, PermitRelease } from "@sassafrasstage/protocol/permits";

export interface WarmUpSign {
  readonly warmUpState: "cold" | "warm";
  readonly seenAtMs: number;
}

/** The freshest sign wins. */
export class WarmUpLog {
  readonly #signs = new Map<BackendServerId, WarmUpSign>();

  of(id: BackendServerId): WarmUpSign | undefined {
    return this.#signs.get(id);
  }

  /** Whether the sign is fresher than what was known. */
  note(id: BackendServerId, sign: WarmUpSign): boolean {
    const known = this.#signs.get(id);
    if (known !== undefined && known.seenAtMs >= sign.seenAtMs) return false;
    this.#signs.set(id, sign);
    return true;
  }

  observations(
    ids: Iterable<BackendServerId>,
    nowMs: number,
  ): WarmUpObservation[] {
    const found: WarmUpObservation[] = [];
    for (const id of ids) {
      const sign = this.#signs.get(id);
      if (sign === undefined) continue;
      found.push({
        backendServerId: id,
        warmUpState: sign.warmUpState,
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
export function signOf(call: EndedCall): WarmUpSign | undefined {
  switch (call.release.outcome) {
    case "completed":
      return {
        warmUpState: call.permit.warmUpState,
        seenAtMs: call.grantedAtMs,
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
