/**
 * The voter's side of ownership: for each pool this daemon backs one owner at
 * a time, and another one only after its support has surely run out.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";

/** Covers the difference in speed of two VMs' monotonic clocks. */
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

export interface SupportQuestion {
  readonly poolKey: string;
  readonly candidate: VmId;
  /** Members that said they are leaving have given up their pools. */
  readonly leaving: ReadonlySet<VmId>;
  readonly nowMs: number;
}

/** Whom this daemon backs for each pool. */
export class OwnershipSupport {
  readonly #periodMs: number;
  readonly #votesFromMs: number;
  readonly #supports = new Map<string, Support>();

  constructor(options: SupportOptions) {
    this.#periodMs = options.leaseMs + LEASE_MARGIN_MS;
    // An earlier process of this VM may have backed somebody right before.
    this.#votesFromMs = options.startedAtMs + this.#periodMs;
  }

  /** Backs the candidate, if nobody else can still count on this daemon. */
  give(question: SupportQuestion): boolean {
    const { poolKey, candidate, leaving, nowMs } = question;
    if (nowMs < this.#votesFromMs) return false;
    const support = this.#supports.get(poolKey);
    if (support !== undefined && !this.#isFree(support, question)) return false;
    this.#supports.set(poolKey, {
      vmId: candidate,
      untilMs: nowMs + this.#periodMs,
      wasLeaving: leaving.has(candidate),
    });
    return true;
  }

  #isFree(support: Support, question: SupportQuestion): boolean {
    if (support.vmId === question.candidate) return true;
    if (question.nowMs >= support.untilMs) return true;
    return question.leaving.has(support.vmId) && !support.wasLeaving;
  }
}
