/**
 * Maps claim keys to hashes and partitions.
 *
 * @module
 */

import type { ClaimKey } from "@sassafrasstage/protocol/claims";
import type { Branded } from "@sassafrasstage/protocol/ids";
import { toId } from "@sassafrasstage/protocol/ids";
import { createHash } from "node:crypto";

/** Identifies one key of one client account. */
export type ClaimHash = Branded<"ClaimHash">;

const PARTITION_HEX_DIGITS = 8;

/**
 * Hashes a key. The length prefix makes the concatenation of account and key
 * unambiguous.
 *
 * @example
 * ```ts
 * const hash = hashClaimKey({ clientAccountId, idempotencyKey });
 * ```
 */
export function hashClaimKey(key: ClaimKey): ClaimHash {
  const { clientAccountId, idempotencyKey } = key;
  const text = `${clientAccountId.length}:${clientAccountId}${idempotencyKey}`;
  return toId<ClaimHash>(createHash("sha256").update(text).digest("hex"));
}

/**
 * Returns the partition of a key, which is the same on every daemon.
 *
 * @example
 * ```ts
 * const partition = partitionOf(hash, layout.partitions);
 * ```
 */
export function partitionOf(hash: ClaimHash, partitions: number): number {
  return parseInt(hash.slice(0, PARTITION_HEX_DIGITS), 16) % partitions;
}
