/**
 * Lists the pools that can run a service now, in order of preference.
 *
 * @module
 */

import {
  type PoolId,
  poolKey,
  type ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { PendingRequests } from "./pending_requests.js";
import type { PoolContext } from "./pool_context.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";

/** Upper bound of the time for which a pool that refused is tried last. */
const MAX_AVOIDANCE_MS = 1000;

/** Once a permit request has waited this long in the local pool, others come first. */
const SPILL_AFTER_WAIT_MS = 20;

export interface CandidatePoolsOptions {
  readonly context: PoolContext;
  readonly pending: PendingRequests;
}

/**
 * The local data centre comes first, then the others in rotation. While permit
 * requests have been waiting in the local pool for long, the others are also
 * listed before it. Such overflow to another data centre is called spill. The
 * pool's owner there grants it only free slots, so that spill never delays the
 * work of that data centre.
 */
export class CandidatePools {
  readonly #context: PoolContext;
  readonly #pending: PendingRequests;
  readonly #avoidUntilMs = new Map<string, number>();
  #rotation = 0;

  constructor(options: CandidatePoolsOptions) {
    this.#context = options.context;
    this.#pending = options.pending;
  }

  /** Records that the pool's owner refused a permit request. */
  recordRefusal(pool: PoolId, retryAfterMs: number, nowMs: number): void {
    const avoidMs = Math.min(MAX_AVOIDANCE_MS, retryAfterMs);
    this.#avoidUntilMs.set(poolKey(pool), nowMs + avoidMs);
  }

  recordGrant(pool: PoolId): void {
    this.#avoidUntilMs.delete(poolKey(pool));
  }

  pools(service: ServiceName, nowMs: number): PoolId[] {
    const entries = this.#context.layout().poolsByService.get(service) ?? [];
    const usable = entries.filter((entry) => this.#isUsable(entry));
    const local = usable.filter((entry) => this.#isLocal(entry));
    const others = usable.filter((entry) => !this.#isLocal(entry));
    this.#rotation += 1;
    const start = others.length === 0 ? 0 : this.#rotation % others.length;
    const rotated = [...others.slice(start), ...others.slice(0, start)];
    const avoided = rotated.filter((entry) => this.#isAvoided(entry, nowMs));
    const notAvoided = rotated.filter((entry) =>
      !this.#isAvoided(entry, nowMs)
    );
    const spill = local.some((entry) => this.#hasLongWait(entry, nowMs))
      ? notAvoided
      : [];
    return [...spill, ...local, ...notAvoided, ...avoided].map((entry) =>
      entry.pool
    );
  }

  /**
   * Whether a permit request to this pool is spill: it goes to another data
   * centre although the local one offers the service and has not just refused.
   */
  isSpill(pool: PoolId, nowMs: number): boolean {
    if (pool.dataCentre === this.#context.self.dataCentre) return false;
    const { dataCentre } = this.#context.self;
    const localPool = { service: pool.service, dataCentre };
    const entry = this.#context.layout().pools.get(poolKey(localPool));
    if (entry === undefined || !this.#isUsable(entry)) return false;
    return !this.#isAvoided(entry, nowMs);
  }

  #hasLongWait(entry: PoolEntry, nowMs: number): boolean {
    return this.#pending.longestWaitMs(entry.key, nowMs) >= SPILL_AFTER_WAIT_MS;
  }

  #isLocal(entry: PoolEntry): boolean {
    return entry.pool.dataCentre === this.#context.self.dataCentre;
  }

  #isAvoided(entry: PoolEntry, nowMs: number): boolean {
    return nowMs < (this.#avoidUntilMs.get(entry.key) ?? 0);
  }

  #isUsable(entry: PoolEntry): boolean {
    const layout = this.#context.layout();
    if (layout.dataCentresOut.has(entry.pool.dataCentre)) return false;
    if (this.#context.ownerOf(entry.pool) === undefined) return false;
    const vms = this.#context.vms();
    return entry.servers.some((server) =>
      availabilityOf(server, layout, vms) === "inService"
    );
  }
}
