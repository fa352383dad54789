/**
 * A queue order with two objectives in lexicographic order: least total excess
 * wait, then least mean slowdown.
 *
 * @module
 */

import { IndexedHeap } from "./indexed_heap.js";
import { likelyWorkMs, type WaitingRequest } from "./waiting_request.js";

/** A wait beyond this fraction of the time until the latest start is in excess. */
const EXCESS_WAIT_FRACTION = 0.5;

/**
 * Permit requests whose wait is in excess go first, the shortest of them first:
 * each adds one millisecond of excess per millisecond, so the total grows least
 * when as many as possible are served soon. Among the others, shortest first
 * gives the least mean slowdown.
 */
export class ExcessWaitOrder {
  readonly isFair = false;
  readonly #inExcess = new IndexedHeap<WaitingRequest>(compareWork);
  readonly #others = new IndexedHeap<WaitingRequest>(compareWork);
  readonly #othersByExcess = new IndexedHeap<WaitingRequest>(
    (a, b) => excessStartsAtMs(a) - excessStartsAtMs(b) || a.number - b.number,
  );

  add(waiting: WaitingRequest): void {
    this.#others.add(waiting);
    this.#othersByExcess.add(waiting);
  }

  remove(waiting: WaitingRequest): void {
    this.#inExcess.remove(waiting);
    this.#others.remove(waiting);
    this.#othersByExcess.remove(waiting);
  }

  takeNext(nowMs: number): WaitingRequest | undefined {
    this.#promoteExcess(nowMs);
    const next = this.#inExcess.first() ?? this.#others.first();
    if (next !== undefined) this.remove(next);
    return next;
  }

  putBack(waiting: WaitingRequest): void {
    this.add(waiting);
  }

  #promoteExcess(nowMs: number): void {
    for (;;) {
      const first = this.#othersByExcess.first();
      if (first === undefined || excessStartsAtMs(first) > nowMs) return;
      this.remove(first);
      this.#inExcess.add(first);
    }
  }
}

function excessStartsAtMs(waiting: WaitingRequest): number {
  const maxWaitMs = waiting.latestStartAtMs - waiting.receivedAtMs;
  return waiting.receivedAtMs + maxWaitMs * EXCESS_WAIT_FRACTION;
}

function compareWork(first: WaitingRequest, second: WaitingRequest): number {
  return likelyWorkMs(first) - likelyWorkMs(second) ||
    first.number - second.number;
}
