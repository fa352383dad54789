/**
 * Which member owns a pool: rendezvous hashing over the members of its data
 * centre, so that a change of membership moves as few pools as possible.
 *
 * @module
 */

import { type PoolId, poolKey, type VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * The member that should own the pool. Members that are leaving own one only
 * when nobody else is live: work in flight still has to be finished.
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
  return highestScore(pool, local.filter((m) => m.state === "live")) ??
    highestScore(pool, local.filter((m) => m.state === "leaving"));
}

function highestScore(
  pool: PoolId,
  members: readonly Member[],
): VmId | undefined {
  const key = poolKey(pool);
  let best: VmId | undefined;
  let bestScore = -1;
  for (const member of members) {
    const score = hashText(`${key}/${member.vmId}`);
    if (score < bestScore) continue;
    if (score === bestScore && best !== undefined && best < member.vmId) {
      continue;
    }
    best = member.vmId;
    bestScore = score;
  }
  return best;
}

/**
 * A 32-bit hash with well mixed bits, equal in every process.
 *
 * @example
 * ```ts
 * const turn = hashText(serverId) % vmCount;
 * ```
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
