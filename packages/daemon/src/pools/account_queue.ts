/**
 * The waiting permit requests of one client account in one pool.
 *
 * @module
 */

import type { Urgency } from "@sassafrasstage/protocol/rules";
import { IndexedHeap } from "./indexed_heap.js";
import type { WaitingRequest } from "./waiting_request.js";

/** An account's permit requests by urgency, each by slack. */
export class AccountQueue {
  readonly share: number;
  /** Server time used, divided by the share. */
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
 * Less slack first: all slacks shrink alike, so the latest start tells.
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
