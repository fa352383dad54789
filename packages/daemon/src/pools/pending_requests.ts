/**
 * All permit requests that wait at the requesting daemon, by pool.
 *
 * @module
 */

import { type PoolId, poolKey } from "@sassafrasstage/protocol/ids";
import type { PendingRequest } from "./pending_request.js";

/** Keeps the permit requests of each pool in the order of their submission. */
export class PendingRequests {
  readonly #byPool = new Map<string, Set<PendingRequest>>();

  add(pending: PendingRequest): void {
    const key = poolKey(pending.permitRequest.pool);
    const requests = this.#byPool.get(key) ?? new Set();
    requests.add(pending);
    this.#byPool.set(key, requests);
  }

  remove(pending: PendingRequest): void {
    this.#byPool.get(poolKey(pending.permitRequest.pool))?.delete(pending);
  }

  has(pending: PendingRequest): boolean {
    return this.#byPool.get(poolKey(pending.permitRequest.pool))?.has(
      pending,
    ) ?? false;
  }

  all(): PendingRequest[] {
    return [...this.#byPool.values()].flatMap((requests) => [...requests]);
  }

  ofPool(pool: PoolId): PendingRequest[] {
    return [...this.#byPool.get(poolKey(pool)) ?? []];
  }

  /** How long the pool's oldest permit request has been waiting; 0 if there is none. */
  longestWaitMs(key: string, nowMs: number): number {
    const [first] = this.#byPool.get(key) ?? [];
    return first === undefined ? 0 : nowMs - first.submittedAtMs;
  }
}
