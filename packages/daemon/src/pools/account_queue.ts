/**
 * The waiting permit requests of one client account in one pool.
 *
 * @module
 */

import type { Urgency } from "@sassafrasstage/protocol/rules";
import { IndexedHeap } from "./indexed_heap.js";
import type { WaitingRequest } from "./waiting_request.js";

/** One slack-ordered heap of permit requests for each urgency. */
export class AccountQueue {
  readonly share: number;
  /** Expected server time of the granted permit requests, divided by the share. */
  usedMs = 0;
  readonly #counter = new IndexedHeap<WaitingRequest>(compareSlack);
  readonly #deferrable = new IndexedHeap<WaitingRequest>(compareSlack);

  constructor(share: number) {
    this.share = share;
  }

  get size(): number {
    return this.#counter.size + this.#deferrable.size;
  }

  add(waiting: WaitingRequest): void {
    this.#heapOf(waiting.permitRequest.urgency).add(waiting);
  }

  remove(waiting: WaitingRequest): boolean {
    return this.#heapOf(waiting.permitRequest.urgency).remove(waiting);
  }

  firstOf(urgency: Urgency): WaitingRequest | undefined {
    return this.#heapOf(urgency).first();
  }

  #heapOf(urgency: Urgency): IndexedHeap<WaitingRequest> {
    switch (urgency) {
      case "counter":
        return this.#counter;
      case "deferrable":
        return this.#deferrable;
    }
  }
}

/**
 * Orders by slack, least first. All slacks shrink at the same rate, so comparing
 * the latest start times is enough. A missing permit request comes last.
 *
 * @example
 * ```ts
 * new IndexedHeap<WaitingRequest>(compareSlack);
 * ```
 */
export function compareSlack(
  first: WaitingRequest | undefined,
  second: WaitingRequest | undefined,
): number {
  if (first === undefined || second === undefined) {
    return Number(first === undefined) - Number(second === undefined);
  }
  return first.latestStartAtMs - second.latestStartAtMs ||
    first.number - second.number;
}
