/**
 * The waiting asks of one client account in one pool.
 *
 * @module
 */

import type { Urgency } from "@sassafrasstage/protocol/rules";
import { IndexedHeap } from "./indexed_heap.js";
import type { WaitingAsk } from "./waiting_ask.js";

/** An account's asks by urgency, each by slack. */
export class AccountQueue {
  readonly share: number;
  /** Server time used, divided by the share. */
  usedMs = 0;
  readonly #counter = new IndexedHeap<WaitingAsk>(compareSlack);
  readonly #deferrable = new IndexedHeap<WaitingAsk>(compareSlack);

  constructor(share: number) {
    this.share = share;
  }

  get size(): number {
    return this.#counter.size + this.#deferrable.size;
  }

  add(waiting: WaitingAsk): void {
    this.#heapOf(waiting.ask.urgency).add(waiting);
  }

  remove(waiting: WaitingAsk): boolean {
    return this.#heapOf(waiting.ask.urgency).remove(waiting);
  }

  firstOf(urgency: Urgency): WaitingAsk | undefined {
    return this.#heapOf(urgency).first();
  }

  #heapOf(urgency: Urgency): IndexedHeap<WaitingAsk> {
    switch (urgency) {
      case "counter":
        return this.#counter;
      case "deferrable":
        return this.#deferrable;
    }
  }
}

/**
 * Less slack first: all slacks shrink alike, so the latest start tells.
 *
 * @example
 * ```ts
 * new IndexedHeap<WaitingAsk>(compareSlack);
 * ```
 */
export function compareSlack(
  first: WaitingAsk | undefined,
  second: WaitingAsk | undefined,
): number {
  if (first === undefined || second === undefined) {
    return Number(first === undefined) - Number(second === undefined);
  }
  return first.latestStartAtMs - second.latestStartAtMs ||
    first.number - second.number;
}
