/**
 * The owner's side of ownership: until when a majority backs this daemon.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { type Electorate, isMajority } from "./electorate.js";

/** The support that one daemon gathered for one pool. */
export class OwnershipLease {
  readonly #leaseMs: number;
  readonly #sentAtMs = new Map<VmId, number>();
  #countsFromMs: number;

  constructor(leaseMs: number, startedAtMs: number) {
    this.#leaseMs = leaseMs;
    this.#countsFromMs = startedAtMs;
  }

  /**
   * Notes that a voter's reply backs this daemon. The lease counts from the
   * sending of the heartbeat, which was before the voter decided.
   */
  noteSupport(voter: VmId, heartbeatSentAtMs: number): void {
    if (heartbeatSentAtMs < this.#countsFromMs) return;
    const known = this.#sentAtMs.get(voter) ?? -Infinity;
    this.#sentAtMs.set(voter, Math.max(known, heartbeatSentAtMs));
  }

  /** Forgets all support, that of heartbeats under way included. */
  giveUp(nowMs: number): void {
    this.#sentAtMs.clear();
    this.#countsFromMs = nowMs;
  }

  untilMs(self: VmId, electorate: Electorate): number {
    return leaseEnd({
      self,
      electorate,
      sentAtMs: this.#sentAtMs,
      leaseMs: this.#leaseMs,
    });
  }
}

export interface GatheredSupport {
  readonly self: VmId;
  readonly electorate: Electorate;
  /** When the last heartbeat that each voter backed was sent. */
  readonly sentAtMs: ReadonlyMap<VmId, number>;
  readonly leaseMs: number;
}

/**
 * The time until which a majority that includes the owner itself backs it.
 *
 * @example
 * ```ts
 * const mayGrant = nowMs < leaseEnd(support);
 * ```
 */
export function leaseEnd(support: GatheredSupport): number {
  const { self, electorate, sentAtMs, leaseMs } = support;
  const ownMs = sentAtMs.get(self);
  if (ownMs === undefined) return -Infinity;
  const latestFirst = electorate
    .filter((vmId) => sentAtMs.has(vmId))
    .sort((a, b) => (sentAtMs.get(b) ?? 0) - (sentAtMs.get(a) ?? 0));
  const backing = new Set<VmId>();
  for (const voter of latestFirst) {
    backing.add(voter);
    if (!isMajority(backing, electorate)) continue;
    return Math.min(ownMs, sentAtMs.get(voter) ?? 0) + leaseMs;
  }
  return -Infinity;
}
