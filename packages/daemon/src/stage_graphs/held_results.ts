/**
 * The results that lie at backend servers, and the room that they take there.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { ResultReference } from "@sassafrasstage/protocol/stage_graph";

export interface HeldResult {
  readonly result: ResultReference;
  readonly bytes: number;
  /** When its maker drops it by itself. */
  readonly lapsesAtMs: number;
}

/** All results that were not given back yet. */
export class HeldResults {
  readonly #results = new Map<string, HeldResult>();

  add(held: HeldResult): void {
    this.#results.set(held.result.reference, held);
  }

  /** Takes out those of the results that are still held. */
  takeByMaker(
    results: readonly ResultReference[],
  ): Map<BackendServerId, HeldResult[]> {
    const byMaker = new Map<BackendServerId, HeldResult[]>();
    for (const { reference, maker } of results) {
      const held = this.#results.get(reference);
      if (held === undefined) continue;
      this.#results.delete(reference);
      const ofMaker = byMaker.get(maker) ?? [];
      ofMaker.push(held);
      byMaker.set(maker, ofMaker);
    }
    return byMaker;
  }

  /** Takes out what its makers have dropped by now. */
  takeLapsed(nowMs: number): HeldResult[] {
    return this.#takeAll((held) => held.lapsesAtMs <= nowMs);
  }

  /** Takes out what ended with its maker. */
  takeMadeBy(maker: BackendServerId): HeldResult[] {
    return this.#takeAll((held) => held.result.maker === maker);
  }

  #takeAll(matches: (held: HeldResult) => boolean): HeldResult[] {
    const taken = [...this.#results.values()].filter(matches);
    for (const held of taken) this.#results.delete(held.result.reference);
    return taken;
  }
}
