/**
 * Tracks the results stored at backend servers and their sizes.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { ResultReference } from "@sassafrasstage/protocol/stage_graph";

export interface HeldResult {
  readonly result: ResultReference;
  readonly bytes: number;
  /** When the server that made it drops it. */
  readonly expiresAtMs: number;
}

/** All results that have not been freed yet. */
export class HeldResults {
  readonly #results = new Map<string, HeldResult>();

  add(held: HeldResult): void {
    this.#results.set(held.result.reference, held);
  }

  /** Removes those given results that are still held, grouped by maker. */
  takeGroupedByMaker(
    results: readonly ResultReference[],
  ): Map<BackendServerId, HeldResult[]> {
    const byMaker = new Map<BackendServerId, HeldResult[]>();
    for (const { reference, maker } of results) {
      const held = this.#results.get(reference);
      if (held === undefined) continue;
      this.#results.delete(reference);
      const makerResults = byMaker.get(maker) ?? [];
      makerResults.push(held);
      byMaker.set(maker, makerResults);
    }
    return byMaker;
  }

  /** Removes and returns the results that have expired. */
  takeExpired(nowMs: number): HeldResult[] {
    return this.#takeMatching((held) => held.expiresAtMs <= nowMs);
  }

  /** Removes and returns all results of a server that ended. */
  takeAllFromMaker(maker: BackendServerId): HeldResult[] {
    return this.#takeMatching((held) => held.result.maker === maker);
  }

  #takeMatching(matches: (held: HeldResult) => boolean): HeldResult[] {
    const taken = [...this.#results.values()].filter(matches);
    for (const held of taken) this.#results.delete(held.result.reference);
    return taken;
  }
}
