/**
 * The voter's side of ownership: for each pool this daemon supports one owner
 * at a time, and another one only after the earlier support has certainly
 * expired.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";

/** Allows for the difference in rate of two VMs' monotonic clocks. */
export const LEASE_MARGIN_MS = 100;

interface Support {
  readonly vmId: VmId;
  readonly untilMs: number;
  readonly wasLeaving: boolean;
}

export interface SupportOptions {
  readonly leaseMs: number;
  readonly startedAtMs: number;
}

export interface SupportRequest {
  readonly poolKey: string;
  readonly candidate: VmId;
  /** Members that announced that they leave; they have given up their pools. */
  readonly leaving: ReadonlySet<VmId>;
  readonly nowMs: number;
}

/** The owner that this daemon supports for each pool. */
export class OwnershipSupport {
  readonly #supportPeriodMs: number;
  readonly #votesFromMs: number;
  readonly #supports = new Map<string, Support>();

  constructor(options: SupportOptions) {
    this.#supportPeriodMs = options.leaseMs + LEASE_MARGIN_MS;
    // An earlier process of this VM may have supported an owner just before.
    this.#votesFromMs = options.startedAtMs + this.#supportPeriodMs;
  }

  /** Supports the candidate unless another may still rely on this daemon. */
  grantSupport(request: SupportRequest): boolean {
    const { poolKey, candidate, leaving, nowMs } = request;
    if (nowMs < this.#votesFromMs) return false;
    const support = this.#supports.get(poolKey);
    if (support !== undefined && !this.#allows(support, request)) return false;
    this.#supports.set(poolKey, {
      vmId: candidate,
      untilMs: nowMs + this.#supportPeriodMs,
      wasLeaving: leaving.has(candidate),
    });
    return true;
  }

  #allows(support: Support, request: SupportRequest): boolean {
    if (support.vmId === request.candidate) return true;
    if (request.nowMs >= support.untilMs) return true;
    return request.leaving.has(support.vmId) && !support.wasLeaving;
  }
}
