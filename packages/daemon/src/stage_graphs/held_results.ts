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

  /** Takes the result out; undefined when it is held no longer. */
  take(result: ResultReference): HeldResult | undefined {
    const held = this.#results.get(result.reference);
    this.#results.delete(result.reference);
    return held;
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
