/**
 * The order in which a pool's waiting asks get their permits.
 *
 * @module
 */

import type { Settings } from "../settings/settings.js";
import { ExcessWaitOrder } from "./excess_wait_order.js";
import { type Comparison, IndexedHeap } from "./indexed_heap.js";
import { SlackOrder } from "./slack_order.js";
import type { WaitingAsk } from "./waiting_ask.js";

export type QueueOrderName = Settings["policy"]["queue_order"];

/** Each call costs O(log n) in the number of waiting asks. */
export interface QueueOrder {
  /** Whether an account within its share waits for its own backlog only. */
  readonly isFair: boolean;
  add(waiting: WaitingAsk): void;
  /** Takes an ask out unserved. */
  remove(waiting: WaitingAsk): void;
  /** Takes the next ask to serve, and counts it as served. */
  takeNext(nowMs: number): WaitingAsk | undefined;
  /** Puts back an ask that `takeNext` gave and nobody could serve. */
  putBack(waiting: WaitingAsk): void;
}

export interface QueueOrderOptions {
  /** Deferrable work that waited this long goes ahead. */
  readonly maxAgeMs: number;
}

/**
 * Makes the order that the settings name.
 *
 * @example
 * ```ts
 * const order = createQueueOrder("slack", { maxAgeMs: 30_000 });
 * ```
 */
export function createQueueOrder(
  name: QueueOrderName,
  options: QueueOrderOptions,
): QueueOrder {
  switch (name) {
    case "arrival":
      return new FixedOrder(compareArrival);
    case "deadline":
      return new FixedOrder(compareDeadline);
    case "slack":
      return new SlackOrder(options);
    case "excessWait":
      return new ExcessWaitOrder();
  }
}

function compareArrival(first: WaitingAsk, second: WaitingAsk): number {
  return first.number - second.number;
}

function compareDeadline(first: WaitingAsk, second: WaitingAsk): number {
  return first.deadlineAtMs - second.deadlineAtMs ||
    first.number - second.number;
}

/** An order that never changes while an ask waits. */
class FixedOrder implements QueueOrder {
  readonly isFair = false;
  readonly #heap: IndexedHeap<WaitingAsk>;

  constructor(compare: Comparison<WaitingAsk>) {
    this.#heap = new IndexedHeap(compare);
  }

  add(waiting: WaitingAsk): void {
    this.#heap.add(waiting);
  }

  remove(waiting: WaitingAsk): void {
    this.#heap.remove(waiting);
  }

  takeNext(): WaitingAsk | undefined {
    return this.#heap.takeFirst();
  }

  putBack(waiting: WaitingAsk): void {
    this.#heap.add(waiting);
  }
}
