/**
 * Processor time of the requests of each route, learned from the processor time
 * that the whole process uses.
 *
 * @module
 */

import { RecentMap } from "../memory/recent_map.js";

/** Exceeds the number of routes that one configuration can hold. */
const MAX_ROUTES = 10_000;
/** Step of the estimates towards what explains the latest interval. */
const LEARNING_RATE = 0.15;
const MAX_COST_MS = 2000;
/** Requests of a route after which its cost is known. */
const MIN_REQUESTS = 20;
/** A request is processed about evenly at its start and at its end. */
const SHARE_AT_START = 0.5;
/** Weight of the work that doesn't depend on requests, against a request. */
const BASE_WEIGHT = 1;

interface RouteCost {
  costMs: number;
  requests: number;
}

/** One per process. Estimates by normalized least mean squares. */
export class RouteCosts {
  readonly #costs = new RecentMap<string, RouteCost>(MAX_ROUTES);
  #counts = new Map<string, number>();
  /** Processor time per millisecond that no request explains. */
  #baseUse = 0;

  recordStart(route: string): void {
    const cost = this.#costs.get(route) ?? { costMs: 0, requests: 0 };
    cost.requests += 1;
    this.#costs.set(route, cost);
    this.#count(route, SHARE_AT_START);
  }

  recordEnd(route: string): void {
    this.#count(route, 1 - SHARE_AT_START);
  }

  /** Attributes the processor time of an interval to what happened in it. */
  recordUse(usedMs: number, intervalMs: number): void {
    const counts = this.#counts;
    this.#counts = new Map();
    let expectedMs = this.#baseUse * intervalMs;
    let norm = BASE_WEIGHT;
    for (const [route, count] of counts) {
      expectedMs += (this.#costs.get(route)?.costMs ?? 0) * count;
      norm += count * count;
    }
    const stepMs = (usedMs - expectedMs) * LEARNING_RATE / norm;
    this.#baseUse = Math.max(
      0,
      this.#baseUse + stepMs * BASE_WEIGHT / Math.max(1, intervalMs),
    );
    for (const [route, count] of counts) {
      const cost = this.#costs.get(route);
      if (cost === undefined) continue;
      cost.costMs = Math.min(
        MAX_COST_MS,
        Math.max(0, cost.costMs + stepMs * count),
      );
    }
  }

  /** Undefined until enough requests of the route were seen. */
  costMs(route: string): number | undefined {
    const cost = this.#costs.get(route);
    return cost === undefined || cost.requests < MIN_REQUESTS
      ? undefined
      : cost.costMs;
  }

  #count(route: string, count: number): void {
    this.#counts.set(route, (this.#counts.get(route) ?? 0) + count);
  }
}
