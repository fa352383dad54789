/**
 * All attempts that wait at the asking daemon, by pool.
 *
 * @module
 */

import { type PoolId, poolKey } from "@sassafrasstage/protocol/ids";
import type { PendingAsk } from "./pending_ask.js";

/** In each pool the longest waiting ask comes first. */
export class PendingAsks {
  readonly #byPool = new Map<string, Set<PendingAsk>>();

  add(pending: PendingAsk): void {
    const key = poolKey(pending.ask.pool);
    const asks = this.#byPool.get(key) ?? new Set();
    asks.add(pending);
    this.#byPool.set(key, asks);
  }

  remove(pending: PendingAsk): void {
    this.#byPool.get(poolKey(pending.ask.pool))?.delete(pending);
  }

  has(pending: PendingAsk): boolean {
    return this.#byPool.get(poolKey(pending.ask.pool))?.has(pending) ?? false;
  }

  all(): PendingAsk[] {
    return [...this.#byPool.values()].flatMap((asks) => [...asks]);
  }

  ofPool(pool: PoolId): PendingAsk[] {
    return [...this.#byPool.get(poolKey(pool)) ?? []];
  }

  /** How long the first ask of the pool has been waiting; 0 without one. */
  longestWaitMs(key: string, nowMs: number): number {
    const [first] = this.#byPool.get(key) ?? [];
    return first === undefined ? 0 : nowMs - first.askedAtMs;
  }
}
