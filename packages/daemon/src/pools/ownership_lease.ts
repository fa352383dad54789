/**
 * The owner's side of ownership: the time until which a majority supports this
 * daemon.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { type Electorate, isMajority } from "./electorate.js";

/** The support that this daemon has gathered as the owner of one pool. */
export class OwnershipLease {
  readonly #leaseMs: number;
  readonly #sentAtMs = new Map<VmId, number>();
  #countsFromMs: number;

  constructor(leaseMs: number, startedAtMs: number) {
    this.#leaseMs = leaseMs;
    this.#countsFromMs = startedAtMs;
  }

  /**
   * Records that a voter's reply supports this daemon. The lease counts from
   * when the heartbeat was sent, which was before the voter decided.
   */
  recordSupport(voter: VmId, heartbeatSentAtMs: number): void {
    if (heartbeatSentAtMs < this.#countsFromMs) return;
    const known = this.#sentAtMs.get(voter) ?? -Infinity;
    this.#sentAtMs.set(voter, Math.max(known, heartbeatSentAtMs));
  }

  /** Discards all support, including replies to heartbeats already sent. */
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
  /** When the latest heartbeat that each voter supported was sent. */
  readonly sentAtMs: ReadonlyMap<VmId, number>;
  readonly leaseMs: number;
}

/**
 * The time until which a majority that includes the owner itself supports it;
 * `-Infinity` without such a majority.
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
  const supporters = new Set<VmId>();
  for (const voter of latestFirst) {
    supporters.add(voter);
    if (!isMajority(supporters, electorate)) continue;
    return Math.min(ownMs, sentAtMs.get(voter) ?? 0) + leaseMs;
  }
  return -Infinity;
}
