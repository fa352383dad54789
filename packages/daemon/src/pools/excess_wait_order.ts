/**
 * A lexical order: least total excess wait first, least average slowdown
 * second.
 *
 * @module
 */

import { IndexedHeap } from "./indexed_heap.js";
import { likelyWorkMs, type WaitingAsk } from "./waiting_ask.js";

/** Waiting longer than this part of what the ask can bear is in excess. */
const EXCESS_PART = 0.5;

/**
 * Asks whose wait is in excess go first, the shortest of them first: each adds
 * one millisecond of excess a millisecond, so serving the most of them soonest
 * adds least. Among the others the shortest first gives the least slowdown.
 */
export class ExcessWaitOrder {
  readonly isFair = false;
  readonly #inExcess = new IndexedHeap<WaitingAsk>(compareWork);
  readonly #others = new IndexedHeap<WaitingAsk>(compareWork);
  readonly #othersByExcess = new IndexedHeap<WaitingAsk>(
    (a, b) => excessAtMs(a) - excessAtMs(b) || a.number - b.number,
  );

  add(waiting: WaitingAsk): void {
    this.#others.add(waiting);
    this.#othersByExcess.add(waiting);
  }

  remove(waiting: WaitingAsk): void {
    this.#inExcess.remove(waiting);
    this.#others.remove(waiting);
    this.#othersByExcess.remove(waiting);
  }

  takeNext(nowMs: number): WaitingAsk | undefined {
    this.#moveExcess(nowMs);
    const next = this.#inExcess.first() ?? this.#others.first();
    if (next !== undefined) this.remove(next);
    return next;
  }

  putBack(waiting: WaitingAsk): void {
    this.add(waiting);
  }

  #moveExcess(nowMs: number): void {
    for (;;) {
      const first = this.#othersByExcess.first();
      if (first === undefined || excessAtMs(first) > nowMs) return;
      this.remove(first);
      this.#inExcess.add(first);
    }
  }
}

function excessAtMs(waiting: WaitingAsk): number {
  const bearableMs = waiting.latestStartAtMs - waiting.receivedAtMs;
  return waiting.receivedAtMs + bearableMs * EXCESS_PART;
}

function compareWork(first: WaitingAsk, second: WaitingAsk): number {
  return likelyWorkMs(first) - likelyWorkMs(second) ||
    first.number - second.number;
}
