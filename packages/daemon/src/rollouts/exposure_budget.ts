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
  /** Requests expected within the lifetime of a permit. */
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
}

/** Part of the slack that is never reserved. */
const MARGIN_SHARE_OF_SLACK = 0.1;

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

/** Splits permits among routes and VMs. */
export function planPermits(input: PermitPlanInput): PermitGrant[] {
  const grants: PermitGrant[] = [];
  let left = Math.floor(input.allowance);
  for (const { vm, route, expected, held } of input.demands) {
    const count = Math.min(left, Math.ceil(expected) - held);
    if (count <= 0) continue;
    grants.push({ vm, route, count });
    left -= count;
  }
  return grants;
}

export interface ExposureBudgetOptions {
  /** Permits reserved in the reservation object so far, by any owner. */
  readonly reserved: number;
  /** Requests of the service in the reservation object. */
  readonly serviceRequests: number;
}

/**
 * The owner's account of reserved, granted and returned permits.
 *
 * A new owner doesn't know which of the permits reserved before were used, and
 * takes all of them as used.
 *
 * @example
 * ```ts
 * const target = budget.reservationDue(limits, nowMs);
 * if (target !== undefined && await write(target)) budget.confirm(target);
 * const grants = planPermits({ allowance: budget.available(), … });
 * budget.recordGranted(grants.reduce((sum, { count }) => sum + count, 0));
 * ```
 */
export class ExposureBudget {
  #reserved: number;
  #granted: number;
  #serviceRequests: number;
  #reservedAtMs = -Infinity;

  constructor(options: ExposureBudgetOptions) {
    this.#reserved = options.reserved;
    this.#granted = options.reserved;
    this.#serviceRequests = options.serviceRequests;
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
  ):
    | { readonly reserved: number; readonly serviceRequests: number }
    | undefined {
    if (nowMs - this.#reservedAtMs < 1000) return undefined;
    const reserved = maxExposure(limits, this.#serviceRequests);
    if (reserved <= this.#reserved) return undefined;
    this.#reservedAtMs = nowMs;
    return { reserved, serviceRequests: this.#serviceRequests };
  }

  /** The write has been accepted by the store. */
  confirmReserved(reserved: number): void {
    this.#reserved = Math.max(this.#reserved, reserved);
  }

  /** Permits that may be granted now. */
  available(): number {
    return Math.max(0, this.#reserved - this.#granted);
  }

  recordGranted(count: number): void {
    this.#granted += count;
  }

  /** VMs reported permits of this owner as expired unused. */
  recordReturned(count: number): void {
    this.#granted -= count;
  }
}
