/**
 * When each prompt part was last found sound.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";

/** Time for which a success says that servers run requests with the part. */
export const SUCCESS_VALIDITY_MS = 60_000;
const MAX_PARTS = 10_000;

interface Success {
  readonly atMs: number;
  /** Whether this VM has observed it. */
  readonly isOwn: boolean;
}

export class PartSuccesses {
  /** In the order of recording, so the least recently recorded comes first. */
  readonly #successes = new Map<SuspectId, Success>();

  get size(): number {
    return this.#successes.size;
  }

  lastMs(part: SuspectId): number | undefined {
    return this.#successes.get(part)?.atMs;
  }

  isOwn(part: SuspectId): boolean {
    return this.#successes.get(part)?.isOwn ?? false;
  }

  isValid(part: SuspectId, nowMs: number): boolean {
    const atMs = this.lastMs(part);
    return atMs !== undefined && nowMs - atMs <= SUCCESS_VALIDITY_MS;
  }

  /** Returns whether it is newer than the known one. */
  record(part: SuspectId, success: Success): boolean {
    const known = this.#successes.get(part);
    if (known !== undefined && known.atMs >= success.atMs) return false;
    this.#successes.delete(part);
    this.#successes.set(part, success);
    return true;
  }

  /** Bounds the memory; parts that crashes accuse are kept. */
  dropExpired(
    accused: ReadonlyMap<SuspectId, number>,
    nowMs: number,
  ): void {
    let excess = this.#successes.size - MAX_PARTS;
    for (const [part, { atMs }] of this.#successes) {
      const isExpired = nowMs - atMs > SUCCESS_VALIDITY_MS;
      if (!isExpired && excess <= 0) return;
      if (accused.has(part)) continue;
      this.#successes.delete(part);
      excess -= 1;
    }
  }
}
