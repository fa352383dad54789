/**
 * One pool that this daemon owns or is taking over: its lease, its takeover
 * rounds, and its queue and permits.
 *
 * @module
 */

import type { OutstandingReplyMessage } from "@sassafrasstage/protocol/peer_messages";
import { type GrantRights, NO_RIGHTS } from "./grant_rights.js";
import type { GoneMembers } from "./gone_members.js";
import { OwnedPool } from "./owned_pool.js";
import type { OwnedPoolOptions } from "./owned_pool_options.js";
import { OwnershipLease } from "./ownership_lease.js";
import { LEASE_MARGIN_MS } from "./ownership_support.js";
import type { PoolContext } from "./pool_context.js";
import type { PoolEntry } from "./pool_layout.js";
import { Takeover } from "./takeover.js";
import type { PermitLink } from "./permit_link.js";
import type { VmId } from "@sassafrasstage/protocol/ids";
import type { WarmUpTracker } from "./warm_up_tracker.js";

const OUTSTANDING_REQUEST_INTERVAL_MS = 100;

export interface OwnershipOptions {
  readonly entry: PoolEntry;
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly goneMembers: GoneMembers;
  readonly warmUpTracker: WarmUpTracker;
  readonly longestPermitMs: () => number;
  readonly startedAtMs: number;
  readonly pool: Omit<OwnedPoolOptions, "entry" | "rightsAt" | "withheldForMs">;
}

let lastRequestNumber = 0;

/** Lasts from this daemon's election as owner until another one is elected. */
export class Ownership {
  readonly pool: OwnedPool;
  readonly #options: OwnershipOptions;
  readonly #lease: OwnershipLease;
  readonly #startedAtMs: number;
  #entry: PoolEntry;
  #leaseUntilMs = -Infinity;
  #takeover: Takeover;
  #areWarmPermitsKnown = false;
  #nextRequestAtMs = 0;

  constructor(options: OwnershipOptions) {
    this.#options = options;
    this.#entry = options.entry;
    this.#startedAtMs = options.startedAtMs;
    const leaseMs = options.context.settings.pools.lease_ms;
    this.#lease = new OwnershipLease(leaseMs, options.startedAtMs);
    this.#takeover = this.#startTakeover(options.startedAtMs);
    this.pool = new OwnedPool({
      ...options.pool,
      entry: options.entry,
      rightsAt: (nowMs) => this.rightsAt(nowMs),
      withheldForMs: (nowMs) => this.#withheldForMs(nowMs),
    });
  }

  get entry(): PoolEntry {
    return this.#entry;
  }

  configure(entry: PoolEntry, nowMs: number): void {
    const { context } = this.#options;
    this.#entry = entry;
    this.pool.configure(entry, {
      layout: context.layout(),
      vms: context.vms(),
      nowMs,
    });
  }

  recordSupport(voter: VmId, heartbeatSentAtMs: number, nowMs: number): void {
    this.#lease.recordSupport(voter, heartbeatSentAtMs);
    this.#updateLease(nowMs);
  }

  handleOutstandingReply(
    from: VmId,
    reply: OutstandingReplyMessage,
    nowMs: number,
  ): void {
    this.pool.addOutstandingPermits(from, reply.permits, nowMs);
    if (!this.#takeover.recordReply(from, reply.requestNumber)) return;
    this.#adoptObservationsWhenKnown(nowMs);
    // Members may reply after the first adoption.
    if (this.#areWarmPermitsKnown) this.#adoptObservations(nowMs);
    this.pool.grantWaiting(nowMs);
  }

  tick(nowMs: number): void {
    this.#updateLease(nowMs);
    this.#requestOutstanding(nowMs);
    this.#adoptObservationsWhenKnown(nowMs);
    this.pool.tick(nowMs);
  }

  /** Ends the ownership and returns the waiting requests to their clients. */
  giveUp(nowMs: number): void {
    this.#lease.giveUp(nowMs);
    this.#leaseUntilMs = -Infinity;
    this.pool.giveUp();
  }

  rightsAt(nowMs: number): GrantRights {
    const { context } = this.#options;
    if (context.layout().dataCentresOut.has(this.#entry.pool.dataCentre)) {
      return NO_RIGHTS;
    }
    if (!context.isConfigurationConfirmed(nowMs)) return NO_RIGHTS;
    return {
      mayGrantCold: this.mayGrantCold(nowMs),
      warm: this.#warmRights(nowMs),
    };
  }

  mayGrantCold(nowMs: number): boolean {
    if (nowMs >= this.#leaseUntilMs) return false;
    const { context, goneMembers } = this.#options;
    return this.#takeover.areColdPermitsKnown(
      context.members,
      goneMembers.goneSince,
      nowMs,
    );
  }

  /** Estimates the time until rights that are missing now can be used. */
  #withheldForMs(nowMs: number): number {
    const { context, longestPermitMs } = this.#options;
    const { lease_ms: leaseMs } = context.settings.pools;
    if (!this.#areWarmPermitsKnown) return OUTSTANDING_REQUEST_INTERVAL_MS;
    const hasLease = nowMs < this.#leaseUntilMs;
    const dueAtMs = hasLease
      ? this.#takeover.startedAtMs + longestPermitMs()
      : this.#startedAtMs + leaseMs + LEASE_MARGIN_MS;
    return nowMs < dueAtMs ? dueAtMs - nowMs : leaseMs;
  }

  #warmRights(nowMs: number): GrantRights["warm"] {
    const { context } = this.#options;
    const hasLease = nowMs < this.#leaseUntilMs;
    if (!this.#areWarmPermitsKnown) return { kind: "none" };
    if (hasLease || context.hasMajorityInView) return { kind: "full" };
    return { kind: "share", share: context.warmShare() };
  }

  /**
   * A lease that was lost and regained starts a new takeover round, since
   * others may have granted permits in between. It was not lost if the
   * heartbeats that renewed it were sent before it ended.
   */
  #updateLease(nowMs: number): void {
    const { context } = this.#options;
    const beforeMs = this.#leaseUntilMs;
    const afterMs = this.#lease.untilMs(
      context.self.vmId,
      context.electorate,
    );
    this.#leaseUntilMs = afterMs;
    if (nowMs >= afterMs) return;
    if (afterMs - context.settings.pools.lease_ms <= beforeMs) return;
    this.#takeover = this.#startTakeover(nowMs);
    this.#nextRequestAtMs = nowMs;
    this.#requestOutstanding(nowMs);
  }

  #startTakeover(nowMs: number): Takeover {
    lastRequestNumber += 1;
    return new Takeover({
      requestNumber: lastRequestNumber,
      startedAtMs: nowMs,
      longestPermitMs: this.#options.longestPermitMs(),
    });
  }

  #requestOutstanding(nowMs: number): void {
    if (nowMs < this.#nextRequestAtMs) return;
    this.#nextRequestAtMs = nowMs + OUTSTANDING_REQUEST_INTERVAL_MS;
    const { context, link } = this.#options;
    for (const vmId of this.#takeover.membersToAsk(context.members)) {
      link.send(vmId, {
        type: "outstandingRequest",
        pool: this.#entry.pool,
        requestNumber: this.#takeover.requestNumber,
      });
    }
  }

  #adoptObservationsWhenKnown(nowMs: number): void {
    if (this.#areWarmPermitsKnown) return;
    const { context } = this.#options;
    if (!this.#takeover.areWarmPermitsKnown(context.members, nowMs)) return;
    this.#areWarmPermitsKnown = true;
    this.#adoptObservations(nowMs);
  }

  /** Affects only servers about which this owner knows nothing yet. */
  #adoptObservations(nowMs: number): void {
    const { warmUpTracker } = this.#options;
    const ids = this.#entry.servers.map((server) => server.id);
    this.pool.adoptObservations(warmUpTracker.observations(ids, nowMs), nowMs);
  }
}
