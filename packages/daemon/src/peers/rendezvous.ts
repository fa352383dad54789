/**
 * Rendezvous hashing: every daemon that sees the same candidates chooses the
 * same one, and a candidate that leaves moves only what it was chosen for.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Orders candidates by their weight for a key, the best one first.
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
 * Orders texts by their code units, which is the same on every VM.
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
 * A well-mixed 32-bit hash of a text; not for secrets.
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

/** The finalizer of MurmurHash3: every input bit changes every output bit. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
