/**
 * This daemon in its role as a pool owner: it manages the pools that the
 * members elect it for, and votes on the ownership of the others.
 *
 * @module
 */

import {
  type AttemptId,
  type PermitId,
  type PoolId,
  poolKey,
  type ServiceName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { OutstandingReplyMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";
import type { PoolStatus } from "@sassafrasstage/protocol/status";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ColdStartNotifier } from "./cold_start_notifier.js";
import { GoneMembers } from "./gone_members.js";
import type { LatencyBaselines } from "./latency_baseline.js";
import { PERMIT_MARGIN_MS } from "./owned_pool.js";
import type { OwnedPoolEvent } from "./owned_pool_options.js";
import { Ownership } from "./ownership.js";
import { OwnershipSupport } from "./ownership_support.js";
import type { PermitLink } from "./permit_link.js";
import type { PoolContext } from "./pool_context.js";
import type { PoolEntry, PoolLayout, VmAvailability } from "./pool_layout.js";
import { logDecision, logOutstandingReply } from "./permit_log.js";
import { refusal } from "./refusal.js";
import { toLogFields } from "./state_change.js";
import type { WarmUpTracker } from "./warm_up_tracker.js";

const DEFAULT_SHARE = 1;

export interface OwnerRoleOptions {
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly warmUpTracker: WarmUpTracker;
  readonly coldStartNotifier: ColdStartNotifier;
  readonly baselines: LatencyBaselines;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly startedAtMs: number;
}

/** The part of a heartbeat reply that concerns ownership. */
export interface ReceivedSupport {
  readonly from: VmId;
  readonly heartbeatSentAtMs: number;
  readonly pools: readonly PoolId[];
}

/** Driven by messages and ticks; every call takes the current time. */
export class OwnerRole {
  readonly #options: OwnerRoleOptions;
  readonly #ownerships = new Map<string, Ownership>();
  readonly #support: OwnershipSupport;
  readonly #goneMembers: GoneMembers;
  #configuredLayout: PoolLayout | undefined;
  #configuredVms: VmAvailability | undefined;
  readonly #longestPermitsMs = new Map<ServiceName, number>();
  #permitNumber = 0;
  #lastActiveAtMs: number;

  constructor(options: OwnerRoleOptions) {
    this.#options = options;
    this.#support = new OwnershipSupport({
      leaseMs: options.context.settings.pools.lease_ms,
      startedAtMs: options.startedAtMs,
    });
    this.#goneMembers = new GoneMembers(options.startedAtMs);
    this.#lastActiveAtMs = options.startedAtMs;
  }

  /** Applies the membership view, the configuration and the elapsed time. */
  tick(nowMs: number): void {
    const { context } = this.#options;
    const layout = context.layout();
    this.#updateLongestPermits(layout);
    const newlyGone = this.#goneMembers.update(context.members, nowMs);
    this.#applyElections(layout, nowMs);
    this.#configure(layout, nowMs);
    for (const ownership of this.#ownerships.values()) {
      for (const vmId of newlyGone) {
        ownership.pool.dropRequestsOf(vmId);
        ownership.pool.endWarmPermitsOf(vmId, nowMs);
      }
      ownership.tick(nowMs);
    }
    this.#supportSelf(nowMs);
  }

  handlePermitRequest(
    from: VmId,
    permitRequest: PermitRequest,
    nowMs: number,
  ): void {
    const ownership = this.#ownerships.get(poolKey(permitRequest.pool));
    if (ownership === undefined) {
      this.#decide(
        from,
        permitRequest.attemptId,
        refusal("notReady", "The pool isn't owned here", 0),
      );
      return;
    }
    const shares = this.#options.context.layout().shares;
    const share = shares.get(permitRequest.clientAccountId) ?? DEFAULT_SHARE;
    ownership.pool.submit({ from, permitRequest, share }, nowMs);
  }

  cancel(pool: PoolId, attemptId: AttemptId, nowMs: number): void {
    this.#ownerships.get(poolKey(pool))?.pool.cancel(attemptId, nowMs);
  }

  release(pool: PoolId, release: PermitRelease, nowMs: number): void {
    this.#ownerships.get(poolKey(pool))?.pool.release(release, nowMs);
  }

  handleOutstandingReply(
    from: VmId,
    reply: OutstandingReplyMessage,
    nowMs: number,
  ): void {
    const { context, logger } = this.#options;
    const ownership = this.#ownerships.get(poolKey(reply.pool));
    const isToldOfColdStarts = context.members.some((member) =>
      member.vmId === from && member.dataCentre === reply.pool.dataCentre
    );
    logOutstandingReply(logger, from, reply);
    for (const observation of reply.observations) {
      const seenAtMs = nowMs - observation.ageMs;
      const { backendServerId, warmUpState } = observation;
      // A warm one may be outdated if its observer isn't told of cold starts.
      if (warmUpState === "warm" && !isToldOfColdStarts) continue;
      this.#options.warmUpTracker.recordIfNewer(backendServerId, {
        warmUpState,
        seenAtMs,
      });
      if (warmUpState !== "cold") continue;
      ownership?.pool.recordColdStart(backendServerId, { seenAtMs, nowMs });
    }
    ownership?.handleOutstandingReply(from, reply, nowMs);
  }

  dropRequestsOf(vmId: VmId): void {
    for (const { pool } of this.#ownerships.values()) {
      pool.dropRequestsOf(vmId);
    }
  }

  giveUpAll(nowMs: number): void {
    for (const key of [...this.#ownerships.keys()]) this.#giveUp(key, nowMs);
  }

  statuses(nowMs: number): PoolStatus[] {
    const { context } = this.#options;
    const layout = context.layout();
    return [...layout.pools.values()].map((entry) => {
      const owner = context.ownerOf(entry.pool);
      const owned = this.#ownerships.get(entry.key);
      return {
        pool: entry.pool,
        ...(owner === undefined ? {} : { owner }),
        isOwnedHere: owned !== undefined,
        isDataCentreOut: layout.dataCentresOut.has(entry.pool.dataCentre),
        queueLength: owned?.pool.queueLength ?? 0,
        coldGrants: owned?.mayGrantCold(nowMs) === true
          ? "allowed"
          : "withheld",
        backendServers: owned?.pool.statuses() ?? [],
      };
    });
  }

  /** The pools to list in a heartbeat that is about to be sent. */
  ownedPools(nowMs: number): PoolId[] {
    this.#supportSelf(nowMs);
    return [...this.#ownerships.values()].map((o) => o.entry.pool);
  }

  /** The subset of the pools for which this daemon supports the candidate. */
  supportFor(from: VmId, pools: readonly PoolId[], nowMs: number): PoolId[] {
    return pools.filter((pool) => this.#grantSupport(from, pool, nowMs));
  }

  recordSupport(support: ReceivedSupport, nowMs: number): void {
    for (const pool of support.pools) {
      this.#ownerships.get(poolKey(pool))
        ?.recordSupport(support.from, support.heartbeatSentAtMs, nowMs);
    }
  }

  /**
   * Must be called before anything else is handled: while a process is paused
   * for longer than its lease, another owner may take over its pools.
   */
  giveUpAfterPause(nowMs: number): void {
    const pausedMs = nowMs - this.#lastActiveAtMs;
    this.#lastActiveAtMs = nowMs;
    if (pausedMs < this.#options.context.settings.pools.lease_ms) return;
    this.#options.metrics.countEvent("pausedPastLease");
    this.#options.logger.warn("pausedPastLease", { pausedMs });
    this.#options.context.recordPause(nowMs);
    this.#options.warmUpTracker.recordPause(nowMs);
    this.giveUpAll(nowMs);
  }

  /** Supports only the owner that this daemon's own view elects. */
  #grantSupport(candidate: VmId, pool: PoolId, nowMs: number): boolean {
    const { context } = this.#options;
    if (pool.dataCentre !== context.self.dataCentre) return false;
    if (context.ownerOf(pool) !== candidate) return false;
    const leaving = context.members
      .filter((member) => member.state === "leaving")
      .map((member) => member.vmId);
    return this.#support.grantSupport({
      poolKey: poolKey(pool),
      candidate,
      leaving: new Set(leaving),
      nowMs,
    });
  }

  #supportSelf(nowMs: number): void {
    const { vmId } = this.#options.context.self;
    for (const ownership of this.#ownerships.values()) {
      if (!this.#grantSupport(vmId, ownership.entry.pool, nowMs)) continue;
      ownership.recordSupport(vmId, nowMs, nowMs);
    }
  }

  #applyElections(layout: PoolLayout, nowMs: number): void {
    const { context } = this.#options;
    const { vmId, dataCentre } = context.self;
    for (const key of [...this.#ownerships.keys()]) {
      const entry = layout.pools.get(key);
      if (entry !== undefined && context.ownerOf(entry.pool) === vmId) continue;
      this.#giveUp(key, nowMs);
    }
    for (const entry of layout.pools.values()) {
      if (entry.pool.dataCentre !== dataCentre) continue;
      if (this.#ownerships.has(entry.key)) continue;
      if (context.ownerOf(entry.pool) === vmId) this.#takeOver(entry, nowMs);
    }
  }

  #takeOver(entry: PoolEntry, nowMs: number): void {
    const { context, metrics, logger } = this.#options;
    metrics.countEvent("poolTaken");
    logger.info("poolTaken", { pool: entry.key });
    const ownership = new Ownership({
      entry,
      context,
      link: this.#options.link,
      goneMembers: this.#goneMembers,
      warmUpTracker: this.#options.warmUpTracker,
      longestPermitMs: () => this.#longestPermitMs(entry),
      startedAtMs: nowMs,
      pool: {
        queueOrder: context.settings.policy.queue_order,
        hasPrefixAffinity: context.settings.policy.prefix_affinity === "on",
        maxQueueLength: context.settings.pools.max_queue_length,
        maxQueueAgeMs: context.settings.pools.max_queue_age_ms,
        baselines: this.#options.baselines,
        isGone: (vmId) => this.#goneMembers.goneSince.has(vmId),
        nextPermitId: () => this.#nextPermitId(),
        decide: (to, attemptId, decision) => {
          this.#decide(to, attemptId, decision);
        },
        onCooled: (server, atMs) => {
          metrics.countEvent("serverCooled");
          this.#options.coldStartNotifier.notify(entry.pool, server, atMs);
        },
        onStateChanged: (change) => {
          logger.info("backendServerStateChanged", toLogFields(change));
        },
        onEvent: (event) => {
          this.#countEvent(event);
        },
      },
    });
    this.#ownerships.set(entry.key, ownership);
    ownership.configure(entry, nowMs);
  }

  #giveUp(key: string, nowMs: number): void {
    const ownership = this.#ownerships.get(key);
    if (ownership === undefined) return;
    this.#ownerships.delete(key);
    ownership.giveUp(nowMs);
    this.#options.metrics.countEvent("poolGivenUp");
    this.#options.logger.info("poolGivenUp", { pool: key });
  }

  #configure(layout: PoolLayout, nowMs: number): void {
    const vms = this.#options.context.vms();
    if (layout === this.#configuredLayout && vms === this.#configuredVms) {
      return;
    }
    this.#configuredLayout = layout;
    this.#configuredVms = vms;
    for (const ownership of this.#ownerships.values()) {
      const entry = layout.pools.get(ownership.entry.key);
      if (entry !== undefined) ownership.configure(entry, nowMs);
    }
  }

  /** Permits granted under an earlier configuration may be outstanding. */
  #updateLongestPermits(layout: PoolLayout): void {
    if (layout === this.#configuredLayout) return;
    for (const [service, deadlineMs] of layout.longestDeadlinesMs) {
      const knownMs = this.#longestPermitsMs.get(service) ?? 0;
      const permitMs = deadlineMs + PERMIT_MARGIN_MS;
      this.#longestPermitsMs.set(service, Math.max(knownMs, permitMs));
    }
  }

  #longestPermitMs(entry: PoolEntry): number {
    return this.#longestPermitsMs.get(entry.service.name) ?? PERMIT_MARGIN_MS;
  }

  #nextPermitId(): PermitId {
    const { vmId, incarnation } = this.#options.context.self;
    this.#permitNumber += 1;
    return toId<PermitId>(`${vmId}/${incarnation}/${this.#permitNumber}`);
  }

  #decide(to: VmId, attemptId: AttemptId, decision: PermitDecision): void {
    logDecision(this.#options.logger, to, decision);
    this.#options.link.send(to, {
      type: "permitDecision",
      attemptId,
      decision,
    });
  }

  #countEvent(event: OwnedPoolEvent): void {
    const { metrics } = this.#options;
    if (event === "unknownPermitReleased") metrics.countDrop("unknownPermit");
    else metrics.countEvent(event);
  }
}
