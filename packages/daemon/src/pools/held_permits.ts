/**
 * The permits that this daemon holds as a permit client.
 *
 * @module
 */

import {
  type BackendServerId,
  type PermitId,
  type PoolId,
  poolKey,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { OutstandingPermit } from "@sassafrasstage/protocol/peer_messages";
import type { Permit } from "@sassafrasstage/protocol/permits";

/**
 * Permits are used immediately; one that is unused for longer was held through
 * a pause of the process.
 */
const MAX_UNUSED_MS = 1000;

/** Who granted a permit. */
export type PermitGranter =
  | { readonly kind: "owner"; readonly vmId: VmId }
  /** This daemon itself, from its static quota, while the owner was silent. */
  | { readonly kind: "staticQuota" };

export interface HeldPermit {
  readonly permit: Permit;
  readonly granter: PermitGranter;
  /** When the request was sent that the permit answers; granted since then. */
  readonly requestedAtMs: number;
  readonly heldSinceMs: number;
  /** The request's deadline by this daemon's clock. */
  readonly deadlineAtMs: number;
}

/** Permits are added when granted and removed when their call has ended. */
export class HeldPermits {
  readonly #byId = new Map<PermitId, HeldPermit>();
  readonly #staticQuotaGrants = new Map<BackendServerId, number>();

  add(held: HeldPermit): void {
    this.#byId.set(held.permit.permitId, held);
    this.#countStaticQuotaGrant(held, 1);
  }

  find(permitId: PermitId): HeldPermit | undefined {
    return this.#byId.get(permitId);
  }

  take(permitId: PermitId): HeldPermit | undefined {
    const held = this.#byId.get(permitId);
    if (held === undefined) return undefined;
    this.#byId.delete(permitId);
    this.#countStaticQuotaGrant(held, -1);
    return held;
  }

  isUsable(permitId: PermitId, nowMs: number): boolean {
    const held = this.#byId.get(permitId);
    return held !== undefined && nowMs < held.deadlineAtMs &&
      nowMs - held.heldSinceMs < MAX_UNUSED_MS;
  }

  /** The number of permits at a server that this daemon granted itself. */
  staticQuotaGrantsAt(server: BackendServerId): number {
    return this.#staticQuotaGrants.get(server) ?? 0;
  }

  /** The pools at whose servers this daemon granted itself permits. */
  staticQuotaPools(): PoolId[] {
    const pools = new Map<string, PoolId>();
    for (const { granter, permit } of this.#byId.values()) {
      if (granter.kind !== "staticQuota") continue;
      pools.set(poolKey(permit.pool), permit.pool);
    }
    return [...pools.values()];
  }

  outstanding(pool: PoolId, nowMs: number): OutstandingPermit[] {
    const key = poolKey(pool);
    return [...this.#byId.values()]
      .filter((held) => poolKey(held.permit.pool) === key)
      .map((held) => ({
        permit: held.permit,
        remainingMs: Math.max(0, held.deadlineAtMs - nowMs),
      }));
  }

  #countStaticQuotaGrant(held: HeldPermit, change: 1 | -1): void {
    if (held.granter.kind !== "staticQuota") return;
    const id = held.permit.backendServerId;
    const count = (this.#staticQuotaGrants.get(id) ?? 0) + change;
    if (count > 0) this.#staticQuotaGrants.set(id, count);
    else this.#staticQuotaGrants.delete(id);
  }
}
