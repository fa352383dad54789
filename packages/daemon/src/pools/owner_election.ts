/**
 * Elects the owner of a pool by rendezvous hashing over the members of its data
 * centre, so that a change of membership moves as few pools as possible.
 *
 * @module
 */

import { type PoolId, poolKey, type VmId } from "@sassafrasstage/protocol/ids";
import type { Member, MemberState } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

/**
 * The member that should own the pool. A leaving member is elected only if no
 * member is live, since work in flight still has to be finished.
 *
 * @example
 * ```ts
 * electOwner(pool, view.members); // "vm-palermo-2"
 * ```
 */
export function electOwner(
  pool: PoolId,
  members: readonly Member[],
): VmId | undefined {
  const local = members.filter((m) => m.dataCentre === pool.dataCentre);
  return electAmong(pool, idsInState(local, "live")) ??
    electAmong(pool, idsInState(local, "leaving"));
}

function idsInState(members: readonly Member[], state: MemberState): VmId[] {
  return members.filter((m) => m.state === state).map((m) => m.vmId);
}

function electAmong(pool: PoolId, vmIds: readonly VmId[]): VmId | undefined {
  const [owner] = rankByRendezvous(poolKey(pool), vmIds);
  return owner;
}
