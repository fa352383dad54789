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
  /** Whether each account is served at its share, whatever the others' backlogs. */
  readonly isFair: boolean;
  add(waiting: WaitingRequest): void;
  /** Removes a permit request without counting it as served. */
  remove(waiting: WaitingRequest): void;
  /** Removes the next permit request to serve and counts it as served. */
  takeNext(nowMs: number): WaitingRequest | undefined;
  /** Undoes `takeNext` for a permit request that no server could take. */
  putBack(waiting: WaitingRequest): void;
}

export interface QueueOrderOptions {
  /** Upper bound of the wait after which deferrable work counts as aged. */
  readonly maxAgeMs: number;
}

/**
 * Creates the queue order of the given name.
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

/** An order that doesn't change while permit requests wait. */
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
