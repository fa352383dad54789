/**
 * Rendezvous hashing: all daemons that see the same candidates choose the same
 * one, and the loss of a candidate moves only the keys assigned to it.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Orders candidates by their weight for a key, highest first.
 *
 * @example
 * ```ts
 * const [preferred] = rankByRendezvous("claims/3", ["vm-a", "vm-b"]);
 * ```
 */
export function rankByRendezvous<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      weight: hash32(`${key}\n${candidate}`),
    }))
    .sort((a, b) =>
      b.weight - a.weight || compareText(a.candidate, b.candidate)
    )
    .map((entry) => entry.candidate);
}

/**
 * Compares strings by UTF-16 code units, so that the order is the same on every
 * VM.
 *
 * @example
 * ```ts
 * vmIds.sort(compareText);
 * ```
 */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/**
 * Computes a 32-bit FNV-1a hash of a string, mixed by the finalizer of
 * MurmurHash3. Not cryptographic.
 *
 * @example
 * ```ts
 * const partition = hash32(key) % partitions;
 * ```
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mix(hash);
}

/** The finalizer of MurmurHash3: every input bit affects every output bit. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
