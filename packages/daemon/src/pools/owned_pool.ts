/**
 * One pool in the hands of its owner: the queue, the backend servers, and the
 * loop that grants.
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
import { learnFromRelease } from "./learn_from_release.js";
import type { OwnedPoolOptions } from "./owned_pool_options.js";
import type { PoolEntry, PoolLayout, VmAvailability } from "./pool_layout.js";
import type { PooledServer } from "./pooled_server.js";
import { probeWaitMs } from "./pool_outage.js";
import { createQueueOrder } from "./queue_order.js";
import { refusal } from "./refusal.js";
import { ServerTable } from "./server_table.js";
import {
  makeWaitingRequest,
  type RequestArrival,
  type WaitingRequest,
} from "./waiting_request.js";

/** The owner counts a permit this much longer than its holder does. */
export const PERMIT_MARGIN_MS = 200;
/** Asks that no free server suits, set aside in one round at most. */
const MAX_SET_ASIDE = 16;
const MIN_RETRY_AFTER_MS = 50;
const MAX_SPILL_RETRY_MS = 200;
/** Part of the bearable time after which a queued request's wait has to end. */
const ADMITTED_PART = 0.75;
/** How long a call may run on after its request's deadline. */
const LATE_CALL_MS = 30_000;
const LATE_CHECK_MS = 500;

/** Every permit request that comes in is decided exactly once, unless it is canceled. */
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
    world: {
      readonly layout: PoolLayout;
      readonly vms: VmAvailability;
      readonly nowMs: number;
    },
  ): void {
    this.#servers.configure(entry, world);
  }

  /** Lets time pass: permits expire, hopeless permit requests are refused. */
  tick(nowMs: number): void {
    for (const granted of this.#permits.takeExpired(nowMs)) {
      this.#expire(granted, nowMs);
    }
    this.#servers.refresh(nowMs);
    this.#refuseInOutage(nowMs);
    this.#updateCounterShare(nowMs);
    this.pump(nowMs);
  }

  submit(arrival: RequestArrival, nowMs: number): void {
    this.#servers.setRights(this.#options.rightsAt(nowMs), nowMs);
    this.#requestNumber += 1;
    const waiting = makeWaitingRequest(arrival, {
      number: this.#requestNumber,
      nowMs,
    });
    const refused = this.#refuseHopeless(waiting, nowMs);
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
    this.pump(nowMs);
  }

  /** The permit client will not use the attempt id any more, not even if granted. */
  cancel(attemptId: AttemptId, nowMs: number): void {
    const waiting = this.#queue.find(attemptId);
    if (waiting !== undefined) this.#queue.remove(waiting);
    const granted = this.#permits.findByAttempt(attemptId);
    if (granted === undefined) return;
    this.#end(granted, nowMs);
    this.pump(nowMs);
  }

  release(release: PermitRelease, nowMs: number): void {
    const granted = this.#permits.take(release.permitId);
    if (granted === undefined) {
      this.#options.onEvent("unknownPermitReleased");
      return;
    }
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
    learnFromRelease(granted, release, {
      servers: this.#servers,
      baselines: this.#options.baselines,
      nowMs,
    });
    this.pump(nowMs);
  }

  /** Drops the permit requests of a daemon whose connection ended; it asks again. */
  forgetRequestsOf(vmId: VmId): void {
    for (const waiting of [...this.#queue.all()]) {
      if (waiting.from === vmId) this.#queue.remove(waiting);
    }
  }

  /** Frees the warm servers' permits of a daemon whose process has ended. */
  forgetWarmPermitsOf(vmId: VmId, nowMs: number): void {
    for (const granted of this.#permits.heldBy(vmId)) {
      if (this.#servers.isCold(granted.permit.backendServerId)) continue;
      this.#end(granted, nowMs);
    }
    this.pump(nowMs);
  }

  /** Enters permits that a former owner granted. */
  addOutstanding(
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
        grantedAtMs: nowMs,
        expiresAtMs,
        lostAtMs: expiresAtMs + LATE_CALL_MS,
      });
      this.#servers.countGrant(permit.backendServerId, nowMs);
    }
  }

  adoptObservations(
    observations: readonly WarmUpObservation[],
    nowMs: number,
  ): void {
    this.#servers.adoptObservations(observations, nowMs);
    this.pump(nowMs);
  }

  coolDown(
    server: BackendServerId,
    when: { readonly seenAtMs: number; readonly nowMs: number },
  ): void {
    this.#servers.coolDown(server, when);
  }

  /** Hands every waiting permit request back to its permit client. */
  giveUp(): void {
    for (const waiting of [...this.#queue.all()]) {
      this.#queue.remove(waiting);
      this.#refuse(waiting, refusal("notReady", "The pool has moved", 0));
    }
  }

  /** Grants as long as there are permit requests, room and rights. */
  pump(nowMs: number): void {
    this.#servers.setRights(this.#options.rightsAt(nowMs), nowMs);
    this.#refuseExpired(nowMs);
    const setAside: WaitingRequest[] = [];
    while (this.#servers.hasRoom && setAside.length < MAX_SET_ASIDE) {
      const next = this.#queue.takeNext(nowMs);
      if (next === undefined) break;
      const server = this.#servers.choose(next, nowMs);
      if (server === undefined) setAside.push(next);
      else this.#grant(next, server, nowMs);
    }
    for (const waiting of setAside) this.#queue.putBack(waiting);
  }

  #refuseHopeless(
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
    if (waiting.permitRequest.isSpill === true && !this.#isIdle()) {
      return refusal(
        "noCapacity",
        "No slot is free for work of another data centre",
        Math.min(MAX_SPILL_RETRY_MS, this.#drainMs()),
      );
    }
    const bearableMs = waiting.latestStartAtMs - nowMs;
    const waitMs = this.#expectedWaitMs(waiting, nowMs);
    if (waitMs <= bearableMs && bearableMs > 0) return undefined;
    return refusal(
      this.#servers.slots === 0 ? "noCapacity" : "deadlineWouldBeMissed",
      "The stage can't be started in time here",
      Math.max(MIN_RETRY_AFTER_MS, waitMs - bearableMs),
    );
  }

  #expectedWaitMs(waiting: WaitingRequest, nowMs: number): number {
    if (this.#isIdle()) return 0;
    if (this.#servers.slots === 0) {
      const requestsAhead = this.#queue.size;
      return Math.max(
        this.#options.withheldForMs(nowMs),
        this.#outageWaitMs({ requestsAhead, nowMs }),
      );
    }
    const { ofClassMs, ofShareMs } = this.#queue.workAhead(waiting);
    const slotPart = waiting.permitRequest.urgency === "counter"
      ? 1
      : this.#counterShare.deferrablePart;
    const aheadMs = Math.min(ofClassMs / slotPart, ofShareMs);
    return aheadMs / (this.#servers.slots * ADMITTED_PART);
  }

  /** Nobody waits, and there is room. */
  #isIdle(): boolean {
    return this.#queue.size === 0 && this.#servers.hasRoom;
  }

  #updateCounterShare(nowMs: number): void {
    const { slots } = this.#servers;
    const { counterCount } = this.#permits;
    const busyPart = slots === 0 ? 0 : Math.min(1, counterCount / slots);
    this.#counterShare.update(busyPart, nowMs);
  }

  #outageWaitMs(place: {
    readonly requestsAhead: number;
    readonly nowMs: number;
  }): number {
    const outage = this.#servers.outage();
    return outage === undefined ? 0 : probeWaitMs(outage, place);
  }

  /** Refuses those that can't even be a probe of an all-down pool in time. */
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

  /** How long the whole queue is likely to take. */
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
      lostAtMs: expiresAtMs + LATE_CALL_MS,
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
   * A call that was sent in time may run on past its permit. At a cold server
   * it is counted on, unless its holder's process has ended and taken the
   * connection with it.
   */
  #expire(granted: GrantedPermit, nowMs: number): void {
    const isCountedOn = nowMs < granted.lostAtMs &&
      this.#servers.isCold(granted.permit.backendServerId) &&
      !this.#options.isGone(granted.holder);
    if (isCountedOn) {
      const expiresAtMs = nowMs + LATE_CHECK_MS;
      this.#permits.add({ ...granted, expiresAtMs });
      return;
    }
    this.#options.onEvent("permitExpired");
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
  }

  #end(granted: GrantedPermit, nowMs: number): void {
    this.#permits.take(granted.permit.permitId);
    this.#servers.countEnd(granted.permit.backendServerId, nowMs);
  }
}
