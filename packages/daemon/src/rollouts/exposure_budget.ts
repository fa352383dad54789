/**
 * Bounds the number of requests that the candidate of a rollout receives before
 * the verdict.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";

export interface ExposureLimits {
  readonly share: number;
  readonly slack: number;
}

/** Permits for requests to the candidate's servers. */
export interface PermitGrant {
  readonly vm: VmId;
  readonly route: string;
  readonly count: number;
}

/** Requests of one route that one VM is expected to receive. */
export interface PermitDemand {
  readonly vm: VmId;
  readonly route: string;
  /**
   * Requests expected within the lifetime of a permit; 1 for a request that
   * waits for its permit.
   */
  readonly expected: number;
  /** Permits that the VM holds for the route and that haven't expired. */
  readonly held: number;
}

export interface PermitPlanInput {
  /** Permits that may be granted now; see `ExposureBudget.available`. */
  readonly allowance: number;
  readonly demands: readonly PermitDemand[];
  /** Samples of the candidate by route. */
  readonly samples: ReadonlyMap<string, number>;
  /**
   * Increases with each plan, so that VMs with the same demand take turns: a
   * fault may show only beside other requests of the same VM or data centre.
   */
  readonly turn?: number;
}

/** Part of the slack that is never reserved. */
const MARGIN_SHARE_OF_SLACK = 0.1;
/** Shortest time between two writes of a reservation. */
const RESERVATION_INTERVAL_MS = 1000;
/**
 * Part of the slack that is reserved at once. What a former owner reserved and
 * didn't grant is lost, so that a whole slack in one portion would leave its
 * successor with the share only.
 */
const PORTION_SHARE_OF_SLACK = 0.4;
const MIN_PORTION = 10;
/** Demands by which the first one moves from plan to plan. */
const TURN_STEP = 37;

/**
 * Requests that may be reserved for the candidate in total.
 *
 * @example
 * ```ts
 * maxExposure({ share: 0.1, slack: 50 }, 600); // 105
 * ```
 */
export function maxExposure(
  limits: ExposureLimits,
  serviceRequests: number,
): number {
  const usableSlack = limits.slack * (1 - MARGIN_SHARE_OF_SLACK);
  return Math.max(0, Math.floor(limits.share * serviceRequests + usableSlack));
}

/**
 * Splits permits among routes and VMs: routes with few samples first, and
 * within a route the VMs that are most likely to use them.
 *
 * The miss risk of the canary analysis is that of the route with the fewest
 * samples, so that routes with little traffic get as many samples as others.
 *
 * @example
 * ```ts
 * planPermits({ allowance: budget.available(), demands, samples });
 * ```
 */
export function planPermits(input: PermitPlanInput): PermitGrant[] {
  const routes = [...groupByRoute(input)].map(([route, takers]) => ({
    takers,
    nextTaker: 0,
    // A held permit counts as the part of a sample that it may become.
    samples: (input.samples.get(route) ?? 0) +
      sum(takers.map(({ held, useChance }) => held * useChance)),
  }));
  let left = Math.floor(input.allowance);
  while (left > 0) {
    const open = routes.filter(({ takers, nextTaker }) =>
      nextTaker < takers.length
    );
    const [first, ...others] = open;
    if (first === undefined) break;
    const route = others.reduce(
      (best, item) => item.samples < best.samples ? item : best,
      first,
    );
    const taker = route.takers[route.nextTaker];
    if (taker === undefined) break;
    taker.granted += 1;
    route.samples += taker.useChance;
    left -= 1;
    if (taker.granted >= taker.room) route.nextTaker += 1;
  }
  return routes.flatMap(({ takers }) =>
    takers.filter(({ granted }) => granted > 0)
      .map(({ vm, route, granted }) => ({ vm, route, count: granted }))
  );
}

interface Taker extends PermitDemand {
  /** Permits that it may get. */
  readonly room: number;
  readonly useChance: number;
  granted: number;
}

function groupByRoute(
  { demands, turn = 0 }: PermitPlanInput,
): Map<string, Taker[]> {
  const byRoute = new Map<string, Taker[]>();
  const start = demands.length === 0 ? 0 : turn * TURN_STEP % demands.length;
  for (const demand of [...demands.slice(start), ...demands.slice(0, start)]) {
    const { route, expected, held } = demand;
    const room = Math.ceil(expected) - held;
    if (room <= 0) continue;
    const useChance = Math.min(1, expected / Math.ceil(expected));
    const takers = byRoute.get(route) ?? [];
    takers.push({ ...demand, room, useChance, granted: 0 });
    byRoute.set(route, takers);
  }
  for (const takers of byRoute.values()) {
    takers.sort((a, b) => b.useChance - a.useChance);
  }
  return byRoute;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** What the reservation object states, by any owner. */
export interface ReservedExposure {
  readonly reserved: number;
  readonly serviceRequests: number;
}

/**
 * The owner's account of reserved, granted and returned permits.
 *
 * An owner grants only what it reserved itself: which permits of another owner
 * were used is unknown, and all of them are taken as used.
 *
 * @example
 * ```ts
 * const due = budget.reservationDue(limits, nowMs);
 * if (due !== undefined && await write(due)) budget.confirmReserved(due.reserved);
 * const grants = planPermits({ allowance: budget.available(), … });
 * budget.recordGranted(grants.reduce((sum, { count }) => sum + count, 0));
 * ```
 */
export class ExposureBudget {
  /** Total in the store, by all owners. */
  #reserved: number;
  #serviceRequests: number;
  #ownReserved = 0;
  #granted = 0;
  #reservedAtMs = -Infinity;

  constructor({ reserved, serviceRequests }: ReservedExposure) {
    this.#reserved = reserved;
    this.#serviceRequests = serviceRequests;
  }

  /** Total reserved in the store. */
  get reserved(): number {
    return this.#reserved;
  }

  get serviceRequests(): number {
    return this.#serviceRequests;
  }

  /** Requests of the service that VMs reported in total; never decreases. */
  recordServiceRequests(total: number): void {
    this.#serviceRequests = Math.max(this.#serviceRequests, total);
  }

  /** The total to reserve by a write now, if a write is due. */
  reservationDue(
    limits: ExposureLimits,
    nowMs: number,
  ): ReservedExposure | undefined {
    if (nowMs - this.#reservedAtMs < RESERVATION_INTERVAL_MS) return undefined;
    const portion = Math.max(
      MIN_PORTION,
      limits.slack * PORTION_SHARE_OF_SLACK,
    );
    if (this.available() >= portion / 2) return undefined;
    const reserved = Math.min(
      maxExposure(limits, this.#serviceRequests),
      Math.floor(this.#reserved + portion),
    );
    if (reserved <= this.#reserved) return undefined;
    this.#reservedAtMs = nowMs;
    return { reserved, serviceRequests: this.#serviceRequests };
  }

  /**
   * The store has accepted this owner's write of the total. Call it only if the
   * write was conditional on the total known here.
   */
  confirmReserved(reserved: number): void {
    this.#ownReserved += Math.max(0, reserved - this.#reserved);
    this.#reserved = Math.max(this.#reserved, reserved);
  }

  /** The store holds what another owner has written. */
  adopt({ reserved, serviceRequests }: ReservedExposure): void {
    this.#reserved = Math.max(this.#reserved, reserved);
    this.recordServiceRequests(serviceRequests);
  }

  /** Permits that may be granted now. */
  available(): number {
    return Math.max(0, this.#ownReserved - this.#granted);
  }

  recordGranted(count: number): void {
    this.#granted += count;
  }

  /** VMs reported permits that this owner granted as expired unused. */
  recordReturned(count: number): void {
    this.#granted = Math.max(0, this.#granted - count);
  }
}
