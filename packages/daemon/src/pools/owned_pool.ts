/**
 * One pool as managed by its owner: the queue of permit requests, the backend
 * servers, and the loop that grants permits.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  OutstandingPermit,
  WarmUpObservation,
} from "@sassafrasstage/protocol/peer_messages";
import type {
  PermitDecision,
  PermitRelease,
} from "@sassafrasstage/protocol/permits";
import type { BackendServerStatus } from "@sassafrasstage/protocol/status";
import { PermitQueue } from "./permit_queue.js";
import { isCold } from "./backend_server_state.js";
import { type GrantedPermit, GrantedPermits } from "./granted_permits.js";
import { CounterShare } from "./counter_share.js";
import { recordCallResult } from "./record_call_result.js";
import type { OwnedPoolOptions } from "./owned_pool_options.js";
import type { PoolEntry, PoolLayout, VmAvailability } from "./pool_layout.js";
import type { PooledServer } from "./pooled_server.js";
import { probeWaitMs } from "./pool_outage.js";
import { createQueueOrder } from "./queue_order.js";
import { refusal } from "./refusal.js";
import { ServerTable } from "./server_table.js";
import {
  makeWaitingRequest,
  type ReceivedRequest,
  type WaitingRequest,
} from "./waiting_request.js";

/** How much longer the owner counts a permit than its holder does. */
export const PERMIT_MARGIN_MS = 200;
/** Maximum permit requests skipped per round for lack of a suitable server. */
const MAX_SKIPPED_REQUESTS = 16;
const MIN_RETRY_AFTER_MS = 50;
const MAX_SPILL_RETRY_MS = 200;
/**
 * A permit request is queued only if its expected wait is at most this fraction
 * of the time until its latest start.
 */
const MAX_WAIT_FRACTION = 0.75;
/** How long a call may continue after its request's deadline. */
const MAX_CALL_OVERRUN_MS = 30_000;
const OVERRUN_CHECK_INTERVAL_MS = 500;
/** Earlier than every state of a server, so that the call proves nothing of it. */
const UNKNOWN_EARLIER_TIME_MS = -Infinity;

/**
 * Decides every permit request exactly once, unless it is canceled or the
 * connection to its sender ends first.
 */
export class OwnedPool {
  readonly #options: OwnedPoolOptions;
  readonly #servers: ServerTable;
  readonly #queue: PermitQueue;
  readonly #permits = new GrantedPermits();
  #requestNumber = 0;
  readonly #counterShare = new CounterShare();

  constructor(options: OwnedPoolOptions) {
    this.#options = options;
    this.#servers = new ServerTable(options);
    const order = createQueueOrder(options.queueOrder, {
      maxAgeMs: options.maxQueueAgeMs,
    });
    this.#queue = new PermitQueue(order, options.maxQueueLength);
  }

  get queueLength(): number {
    return this.#queue.size;
  }

  statuses(): BackendServerStatus[] {
    return this.#servers.statuses();
  }

  configure(
    entry: PoolEntry,
    snapshot: {
      readonly layout: PoolLayout;
      readonly vms: VmAvailability;
      readonly nowMs: number;
    },
  ): void {
    this.#servers.configure(entry, snapshot);
  }

  /** Expires permits and refuses permit requests that can't start in time. */
  tick(nowMs: number): void {
    for (const granted of this.#permits.takeExpired(nowMs)) {
      this.#expirePermit(granted, nowMs);
    }
    this.#servers.refresh(nowMs);
    this.#refuseInOutage(nowMs);
    this.#updateCounterShare(nowMs);
    this.grantWaiting(nowMs);
  }

  submit(arrival: ReceivedRequest, nowMs: number): void {
    this.#servers.setRights(this.#options.rightsAt(nowMs), nowMs);
    this.#requestNumber += 1;
    const waiting = makeWaitingRequest(arrival, {
      number: this.#requestNumber,
      nowMs,
    });
    const refused = this.#admissionRefusal(waiting, nowMs);
    if (refused !== undefined) {
      this.#refuse(waiting, refused);
      return;
    }
    const admission = this.#queue.add(waiting);
    switch (admission.kind) {
      case "admitted":
        break;
      case "admittedInsteadOf":
        this.#refuse(
          admission.shed,
          refusal("queueFull", "The pool's queue is full", this.#drainMs()),
        );
        break;
      case "shareExceeded":
        this.#refuse(
          waiting,
          refusal(
            "shareExceeded",
            "The queue is full and the client account holds most of it",
            this.#drainMs(),
          ),
        );
        break;
    }
    this.grantWaiting(nowMs);
  }

  /**
   * Removes the waiting permit request, or ends the permit that was granted for
   * it: the permit client no longer uses the attempt id.
   */
  cancel(attemptId: AttemptId, nowMs: number): void {
    const waiting = this.#queue.find(attemptId);
    if (waiting !== undefined) this.#queue.remove(waiting);
    const granted = this.#permits.findByAttempt(attemptId);
    if (granted === undefined) return;
    this.#endPermit(granted, nowMs);
    this.grantWaiting(nowMs);
  }

  release(release: PermitRelease, nowMs: number): void {
    const granted = this.#permits.take(release.permitId);
    if (granted === undefined) {
      this.#options.onEvent("unknownPermitReleased");
      return;
    }
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
    recordCallResult(granted, release, {
      servers: this.#servers,
      baselines: this.#options.baselines,
      nowMs,
    });
    this.grantWaiting(nowMs);
  }

  /** Drops the requests of a daemon whose connection ended; it resends them. */
  dropRequestsOf(vmId: VmId): void {
    for (const waiting of [...this.#queue.all()]) {
      if (waiting.from === vmId) this.#queue.remove(waiting);
    }
  }

  /** Ends the permits at warm servers of a daemon whose process has ended. */
  endWarmPermitsOf(vmId: VmId, nowMs: number): void {
    for (const granted of this.#permits.heldBy(vmId)) {
      if (this.#servers.isCold(granted.permit.backendServerId)) continue;
      this.#endPermit(granted, nowMs);
    }
    this.grantWaiting(nowMs);
  }

  /** Adds permits that a previous owner granted. */
  addOutstandingPermits(
    holder: VmId,
    outstanding: readonly OutstandingPermit[],
    nowMs: number,
  ): void {
    for (const { permit, remainingMs } of outstanding) {
      if (this.#permits.has(permit.permitId)) continue;
      const expiresAtMs = nowMs + remainingMs + PERMIT_MARGIN_MS;
      this.#permits.add({
        permit,
        holder,
        urgency: undefined,
        grantedAtMs: UNKNOWN_EARLIER_TIME_MS,
        expiresAtMs,
        countedUntilMs: expiresAtMs + MAX_CALL_OVERRUN_MS,
      });
      this.#servers.countGrant(permit.backendServerId, nowMs);
    }
  }

  adoptObservations(
    observations: readonly WarmUpObservation[],
    nowMs: number,
  ): void {
    this.#servers.adoptObservations(observations, nowMs);
    this.grantWaiting(nowMs);
  }

  recordColdStart(
    server: BackendServerId,
    times: { readonly seenAtMs: number; readonly nowMs: number },
  ): void {
    this.#servers.recordColdStart(server, times);
  }

  /** Returns every waiting permit request to its permit client. */
  giveUp(): void {
    for (const waiting of [...this.#queue.all()]) {
      this.#queue.remove(waiting);
      this.#refuse(waiting, refusal("notReady", "The pool has moved", 0));
    }
  }

  /** Grants permits while requests wait and free slots and rights allow it. */
  grantWaiting(nowMs: number): void {
    this.#servers.setRights(this.#options.rightsAt(nowMs), nowMs);
    this.#refuseExpired(nowMs);
    const skipped: WaitingRequest[] = [];
    while (this.#servers.hasFreeSlot && skipped.length < MAX_SKIPPED_REQUESTS) {
      const next = this.#queue.takeNext(nowMs);
      if (next === undefined) break;
      const server = this.#servers.choose(next, nowMs);
      if (server === undefined) skipped.push(next);
      else this.#grant(next, server, nowMs);
    }
    for (const waiting of skipped) this.#queue.putBack(waiting);
  }

  #admissionRefusal(
    waiting: WaitingRequest,
    nowMs: number,
  ): PermitDecision | undefined {
    if (!this.#servers.hasServerFor(waiting.permitRequest.excluded)) {
      return refusal(
        "noBackendServer",
        "No backend server of the pool is in service",
        this.#options.withheldForMs(nowMs),
      );
    }
    if (waiting.permitRequest.isSpill === true && !this.#hasIdleCapacity()) {
      return refusal(
        "noCapacity",
        "No slot is free for work of another data centre",
        Math.min(MAX_SPILL_RETRY_MS, this.#drainMs()),
      );
    }
    const slackMs = waiting.latestStartAtMs - nowMs;
    const waitMs = this.#expectedWaitMs(waiting, nowMs);
    if (waitMs <= slackMs && slackMs > 0) return undefined;
    return refusal(
      this.#servers.slots === 0 ? "noCapacity" : "deadlineWouldBeMissed",
      "The stage can't be started in time here",
      Math.max(MIN_RETRY_AFTER_MS, waitMs - slackMs),
    );
  }

  #expectedWaitMs(waiting: WaitingRequest, nowMs: number): number {
    if (this.#hasIdleCapacity()) return 0;
    if (this.#servers.slots === 0) {
      const requestsAhead = this.#queue.size;
      return Math.max(
        this.#options.withheldForMs(nowMs),
        this.#outageWaitMs({ requestsAhead, nowMs }),
      );
    }
    const { urgencyBoundMs, shareBoundMs } = this.#queue
      .workAhead(waiting);
    const slotFraction = waiting.permitRequest.urgency === "counter"
      ? 1
      : this.#counterShare.deferrableFraction;
    const aheadMs = Math.min(urgencyBoundMs / slotFraction, shareBoundMs);
    return aheadMs / (this.#servers.slots * MAX_WAIT_FRACTION);
  }

  /** Whether no permit request waits and a server has a free slot. */
  #hasIdleCapacity(): boolean {
    return this.#queue.size === 0 && this.#servers.hasFreeSlot;
  }

  #updateCounterShare(nowMs: number): void {
    const { slots } = this.#servers;
    const { counterPermitCount } = this.#permits;
    const busyFraction = slots === 0
      ? 0
      : Math.min(1, counterPermitCount / slots);
    this.#counterShare.update(busyFraction, nowMs);
  }

  #outageWaitMs(position: {
    readonly requestsAhead: number;
    readonly nowMs: number;
  }): number {
    const outage = this.#servers.outage();
    return outage === undefined ? 0 : probeWaitMs(outage, position);
  }

  /**
   * While all servers are down, refuses the permit requests whose turn to probe
   * a server would come after their latest start.
   */
  #refuseInOutage(nowMs: number): void {
    const outage = this.#servers.outage();
    if (outage === undefined) return;
    let requestsAhead = 0;
    for (const waiting of [...this.#queue.all()]) {
      const waitMs = probeWaitMs(outage, { requestsAhead, nowMs });
      if (nowMs + waitMs <= waiting.latestStartAtMs) {
        requestsAhead += 1;
        continue;
      }
      this.#queue.remove(waiting);
      this.#refuse(
        waiting,
        refusal("noCapacity", "All backend servers are down", waitMs),
      );
    }
  }

  /** The expected time to process the whole queue. */
  #drainMs(): number {
    const workMs = this.#queue.workMs / Math.max(1, this.#servers.slots);
    return Math.max(MIN_RETRY_AFTER_MS, workMs);
  }

  #refuseExpired(nowMs: number): void {
    for (const waiting of this.#queue.takeExpired(nowMs)) {
      this.#refuse(
        waiting,
        refusal(
          "deadlineWouldBeMissed",
          "The latest useful start has passed",
          this.#drainMs(),
        ),
      );
    }
  }

  #grant(waiting: WaitingRequest, server: PooledServer, nowMs: number): void {
    const permit = {
      permitId: this.#options.nextPermitId(),
      attemptId: waiting.permitRequest.attemptId,
      pool: waiting.permitRequest.pool,
      backendServerId: server.id,
      warmUpState: isCold(server.health.state) ? "cold" : "warm",
    } as const;
    const expiresAtMs = waiting.deadlineAtMs + PERMIT_MARGIN_MS;
    this.#permits.add({
      permit,
      holder: waiting.from,
      urgency: waiting.permitRequest.urgency,
      grantedAtMs: nowMs,
      expiresAtMs,
      countedUntilMs: expiresAtMs + MAX_CALL_OVERRUN_MS,
    });
    this.#servers.countGrant(server.id, nowMs);
    this.#options.onEvent("permitGranted");
    this.#options.decide(waiting.from, waiting.permitRequest.attemptId, {
      kind: "granted",
      permit,
    });
  }

  #refuse(waiting: WaitingRequest, decision: PermitDecision): void {
    this.#options.onEvent("permitRefused");
    this.#options.decide(
      waiting.from,
      waiting.permitRequest.attemptId,
      decision,
    );
  }

  /**
   * A call that was sent in time may outlast its permit. At a cold server it
   * stays counted until `countedUntilMs`, unless its holder's process has
   * ended, which also closed the connection.
   */
  #expirePermit(granted: GrantedPermit, nowMs: number): void {
    const staysCounted = nowMs < granted.countedUntilMs &&
      this.#servers.isCold(granted.permit.backendServerId) &&
      !this.#options.isGone(granted.holder);
    if (staysCounted) {
      const expiresAtMs = nowMs + OVERRUN_CHECK_INTERVAL_MS;
      this.#permits.add({ ...granted, expiresAtMs });
      return;
    }
    this.#options.onEvent("permitExpired");
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
  }

  #endPermit(granted: GrantedPermit, nowMs: number): void {
    this.#permits.take(granted.permit.permitId);
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
  }
}
