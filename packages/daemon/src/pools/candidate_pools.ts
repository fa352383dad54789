/**
 * In which pools a service can be run now, the best one first.
 *
 * @module
 */

import {
  type PoolId,
  poolKey,
  type ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { PoolContext } from "./pool_context.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";

/** A refusing pool is tried after the others for this long at most. */
const MAX_AVOID_MS = 1000;

/** The own data centre first; then the others in turn. */
export class CandidatePools {
  readonly #context: PoolContext;
  readonly #avoidUntilMs = new Map<string, number>();
  #turn = 0;

  constructor(context: PoolContext) {
    this.#context = context;
  }

  /** The pool refused for want of room. */
  noteRefusal(pool: PoolId, retryAfterMs: number, nowMs: number): void {
    const avoidMs = Math.min(MAX_AVOID_MS, retryAfterMs);
    this.#avoidUntilMs.set(poolKey(pool), nowMs + avoidMs);
  }

  noteGrant(pool: PoolId): void {
    this.#avoidUntilMs.delete(poolKey(pool));
  }

  pools(service: ServiceName, nowMs: number): PoolId[] {
    const entries = this.#context.layout().poolsByService.get(service) ?? [];
    const usable = entries.filter((entry) => this.#isUsable(entry));
    const own = usable.filter((entry) => this.#isOwn(entry));
    const others = usable.filter((entry) => !this.#isOwn(entry));
    this.#turn += 1;
    const start = others.length === 0 ? 0 : this.#turn % others.length;
    const inTurn = [...others.slice(start), ...others.slice(0, start)];
    const avoided = inTurn.filter((entry) => this.#isAvoided(entry, nowMs));
    const open = inTurn.filter((entry) => !this.#isAvoided(entry, nowMs));
    return [...own, ...open, ...avoided].map((entry) => entry.pool);
  }

  #isOwn(entry: PoolEntry): boolean {
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
