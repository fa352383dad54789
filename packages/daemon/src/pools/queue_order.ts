/**
 * The order in which a pool's waiting permit requests get their permits.
 *
 * @module
 */

import type { Settings } from "../settings/settings.js";
import { ExcessWaitOrder } from "./excess_wait_order.js";
import { type Comparison, IndexedHeap } from "./indexed_heap.js";
import { SlackOrder } from "./slack_order.js";
import type { WaitingRequest } from "./waiting_request.js";

export type QueueOrderName = Settings["policy"]["queue_order"];

/** Each call costs O(log n) in the number of waiting permit requests. */
export interface QueueOrder {
  /** Whether an account within its share waits for its own backlog only. */
  readonly isFair: boolean;
  add(waiting: WaitingRequest): void;
  /** Takes a permit request out unserved. */
  remove(waiting: WaitingRequest): void;
  /** Takes the next permit request to serve, and counts it as served. */
  takeNext(nowMs: number): WaitingRequest | undefined;
  /** Puts back a permit request that `takeNext` gave and nobody could serve. */
  putBack(waiting: WaitingRequest): void;
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

function compareArrival(first: WaitingRequest, second: WaitingRequest): number {
  return first.number - second.number;
}

function compareDeadline(
  first: WaitingRequest,
  second: WaitingRequest,
): number {
  return first.deadlineAtMs - second.deadlineAtMs ||
    first.number - second.number;
}

/** An order that never changes while a permit request waits. */
class FixedOrder implements QueueOrder {
  readonly isFair = false;
  readonly #heap: IndexedHeap<WaitingRequest>;

  constructor(compare: Comparison<WaitingRequest>) {
    this.#heap = new IndexedHeap(compare);
  }

  add(waiting: WaitingRequest): void {
    this.#heap.add(waiting);
  }

  remove(waiting: WaitingRequest): void {
    this.#heap.remove(waiting);
  }

  takeNext(): WaitingRequest | undefined {
    return this.#heap.takeFirst();
  }

  putBack(waiting: WaitingRequest): void {
    this.#heap.add(waiting);
  }
}
