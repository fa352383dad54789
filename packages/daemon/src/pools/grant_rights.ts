/**
 * What a pool's owner may currently grant.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { hash32 } from "../peers/rendezvous.js";

export type WarmRights =
  /** The outstanding permits aren't known yet. */
  | { readonly kind: "none" }
  | { readonly kind: "full" }
  /** Another owner may be granting too, so only a fixed share is allowed. */
  | { readonly kind: "share"; readonly share: WarmShare };

/** One VM's fixed share of the warm limits. */
export interface WarmShare {
  /** The VM's index among the VMs of its data centre. */
  readonly rank: number;
  readonly vmCount: number;
}

export interface GrantRights {
  readonly mayGrantCold: boolean;
  readonly warm: WarmRights;
}

export const NO_RIGHTS: GrantRights = {
  mayGrantCold: false,
  warm: { kind: "none" },
};

export interface LimitedServer {
  readonly backendServerId: BackendServerId;
  readonly limit: number;
}

/**
 * This VM's share of a warm server's limit. The shares of all VMs add up to
 * exactly the limit; which VMs get the remainder differs from server to server.
 *
 * @example
 * ```ts
 * warmShareOf({ backendServerId, limit: 8 }, { rank: 0, vmCount: 3 }); // 2 or 3
 * ```
 */
export function warmShareOf(server: LimitedServer, share: WarmShare): number {
  if (share.vmCount <= 0) return 0;
  const equalPart = Math.floor(server.limit / share.vmCount);
  const remainderOrder = (share.rank + hash32(server.backendServerId)) %
    share.vmCount;
  return equalPart + (remainderOrder < server.limit % share.vmCount ? 1 : 0);
}

/**
 * The part of a server's limit that may be granted under the given rights.
 *
 * @example
 * ```ts
 * grantableLimit({ backendServerId, limit: 8 }, { isCold: true, rights });
 * ```
 */
export function grantableLimit(
  server: LimitedServer,
  conditions: { readonly isCold: boolean; readonly rights: GrantRights },
): number {
  const { isCold, rights } = conditions;
  if (isCold) return rights.mayGrantCold ? server.limit : 0;
  switch (rights.warm.kind) {
    case "none":
      return 0;
    case "full":
      return server.limit;
    case "share":
      return warmShareOf(server, rights.warm.share);
  }
}

/**
 * Whether two sets of rights allow the same grants.
 *
 * @example
 * ```ts
 * if (!haveSameRights(before, now)) recomputeLimits();
 * ```
 */
export function haveSameRights(
  first: GrantRights,
  second: GrantRights,
): boolean {
  if (first.mayGrantCold !== second.mayGrantCold) return false;
  const a = first.warm;
  const b = second.warm;
  if (a.kind !== "share" || b.kind !== "share") return a.kind === b.kind;
  return a.share.rank === b.share.rank && a.share.vmCount === b.share.vmCount;
}
