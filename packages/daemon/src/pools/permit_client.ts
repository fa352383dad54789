/**
 * The permit client of this daemon: sends permit requests to the pools' owners,
 * on this daemon or another, and keeps the permits that it is granted.
 *
 * @module
 */

import {
  type AttemptId,
  type PoolId,
  poolKey,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
} from "@sassafrasstage/protocol/permits";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { CandidatePools } from "./candidate_pools.js";
import type { ColdStartNotifier } from "./cold_start_notifier.js";
import { CallObserver } from "./call_observer.js";
import type { StaticQuotaGrants } from "./static_quota_grants.js";
import type { HeldPermit, HeldPermits, PermitGranter } from "./held_permits.js";
import type { LatencyBaselines } from "./latency_baseline.js";
import { OwnerOutbox } from "./owner_outbox.js";
import {
  createPendingRequest,
  type NewPermitRequest,
  type PendingRequest,
  requestToSend,
} from "./pending_request.js";
import type { PendingRequests } from "./pending_requests.js";
import type { PermitLink } from "./permit_link.js";
import { logReceivedPermit, logReleasedPermit } from "./permit_log.js";
import type { PoolContext } from "./pool_context.js";
import { refusal } from "./refusal.js";
import type { WarmUpTracker } from "./warm_up_tracker.js";

/**
 * Delay before a permit request is sent again because the owner can't be reached,
 * the owner answered `notReady`, or the configuration wasn't confirmed.
 */
const RETRY_DELAY_MS = 25;

export interface PermitClientOptions {
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly held: HeldPermits;
  readonly staticQuota: StaticQuotaGrants;
  readonly candidates: CandidatePools;
  readonly pending: PendingRequests;
  readonly warmUpTracker: WarmUpTracker;
  readonly coldStartNotifier: ColdStartNotifier;
  readonly baselines: LatencyBaselines;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

interface ReceivedGrant {
  readonly permit: Permit;
  readonly granter: PermitGranter;
  readonly requestedAtMs: number;
  readonly nowMs: number;
}

/** Driven by messages and ticks; every call takes the current time. */
export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #outbox: OwnerOutbox;
  readonly #observer: CallObserver;
  readonly #pending: PendingRequests;
  readonly #byTransmission = new Map<AttemptId, PendingRequest>();
  #transmissionNumber = 0;

  constructor(options: PermitClientOptions) {
    this.#options = options;
    this.#pending = options.pending;
    this.#outbox = new OwnerOutbox(options.link);
    this.#observer = new CallObserver(options);
  }

  /** Submits a permit request. The returned function cancels it. */
  submit(
    newPermitRequest: NewPermitRequest,
    nowMs: number,
  ): (nowMs: number) => void {
    const isSpill = this.#options.candidates.isSpill(
      newPermitRequest.permitRequest.pool,
      nowMs,
    );
    const permitRequest = isSpill
      ? { ...newPermitRequest.permitRequest, isSpill }
      : newPermitRequest.permitRequest;
    const pending = createPendingRequest(
      { ...newPermitRequest, permitRequest },
      nowMs,
    );
    this.#pending.add(pending);
    this.#advance(pending, nowMs);
    return (canceledAtMs) => {
      this.#refuse(pending, "callerDisconnected", canceledAtMs);
    };
  }

  release(permit: Permit, release: PermitRelease, nowMs: number): void {
    const held = this.#options.held.take(permit.permitId);
    if (held === undefined) {
      this.#options.metrics.countDrop("unknownPermit");
      return;
    }
    logReleasedPermit(this.#options.logger, release);
    this.#observer.recordRelease(held, release, nowMs);
    for (const owner of this.#ownersToNotify(held)) {
      const message = {
        type: "permitRelease",
        pool: permit.pool,
        release,
      } as const;
      this.#outbox.send(owner, message, nowMs);
    }
  }

  recordFirstToken(permit: Permit, firstTokenMs: number, nowMs: number): void {
    const held = this.#options.held.find(permit.permitId);
    if (held === undefined) return;
    this.#observer.recordFirstToken(held, firstTokenMs, nowMs);
  }

  handleDecision(
    from: VmId,
    decisionMessage: {
      readonly attemptId: AttemptId;
      readonly decision: PermitDecision;
    },
    nowMs: number,
  ): void {
    const { attemptId, decision } = decisionMessage;
    const pending = this.#byTransmission.get(attemptId);
    if (
      pending?.progress.kind !== "sent" || pending.progress.owner !== from
    ) {
      this.#returnUnusedPermit(from, decision, nowMs);
      return;
    }
    this.#byTransmission.delete(attemptId);
    if (!this.#options.context.isConfigurationConfirmed(nowMs)) {
      // This process was paused and hasn't confirmed its configuration since.
      // The decision may be outdated: return the permit and ask again.
      this.#returnUnusedPermit(from, decision, nowMs);
      pending.progress = { kind: "unsent", sendAtMs: nowMs + RETRY_DELAY_MS };
      return;
    }
    if (decision.kind === "granted") {
      this.#acceptGrant(pending, {
        permit: decision.permit,
        granter: { kind: "owner", vmId: from },
        requestedAtMs: pending.progress.sentAtMs,
        nowMs,
      });
      return;
    }
    if (decision.reason === "notReady") {
      pending.progress = { kind: "unsent", sendAtMs: nowMs + RETRY_DELAY_MS };
      return;
    }
    const { pool } = pending.permitRequest;
    this.#options.candidates.recordRefusal(pool, decision.retryAfterMs, nowMs);
    this.#settle(pending, decision);
  }

  /**
   * Tells a new owner which permits this daemon holds. Grants from other owners
   * that have not arrived yet are not in the reply, so the transmissions to those
   * owners are canceled first and later grants are returned.
   */
  answerOutstandingRequest(
    from: VmId,
    request: { readonly pool: PoolId; readonly requestNumber: number },
    nowMs: number,
  ): void {
    const { context, held, link, warmUpTracker } = this.#options;
    const key = poolKey(request.pool);
    const moved = this.#pending.ofPool(request.pool).filter((pending) =>
      pending.progress.kind === "sent" && pending.progress.owner !== from
    );
    for (const pending of moved) this.#cancelTransmission(pending, nowMs);
    const servers = context.layout().pools.get(key)?.servers ?? [];
    link.send(from, {
      type: "outstandingReply",
      pool: request.pool,
      requestNumber: request.requestNumber,
      permits: held.outstanding(request.pool, nowMs),
      observations: warmUpTracker.observations(servers.map((s) => s.id), nowMs),
    });
    for (const pending of moved) this.#advance(pending, nowMs);
  }

  handleConnected(vmId: VmId, nowMs: number): void {
    this.#outbox.flush(vmId, nowMs);
    this.#options.staticQuota.reportTo(vmId, nowMs);
  }

  /**
   * Cancels the transmissions to the peer, which may have been lost, and sends
   * their permit requests again.
   */
  handleDisconnected(vmId: VmId, nowMs: number): void {
    for (const pending of this.#pending.all()) {
      if (pending.progress.kind !== "sent") continue;
      if (pending.progress.owner !== vmId) continue;
      this.#cancelTransmission(pending, nowMs);
      this.#advance(pending, nowMs);
    }
  }

  tick(nowMs: number): void {
    for (const pending of this.#pending.all()) this.#advance(pending, nowMs);
  }

  close(nowMs: number): void {
    for (const pending of this.#pending.all()) {
      this.#refuse(pending, "shuttingDown", nowMs);
    }
  }

  #advance(pending: PendingRequest, nowMs: number): void {
    if (!this.#pending.has(pending)) return;
    if (nowMs >= pending.latestStartAtMs) {
      this.#refuse(pending, "deadlineWouldBeMissed", nowMs);
      return;
    }
    const { context } = this.#options;
    const owner = context.ownerOf(pending.permitRequest.pool);
    const { progress } = pending;
    if (pending.owner !== owner) {
      pending.owner = owner;
      pending.ownerSinceMs = nowMs;
    }
    if (progress.kind === "sent" && progress.owner !== owner) {
      this.#options.metrics.countEvent("permitRequestMoved");
      this.#cancelTransmission(pending, nowMs);
    }
    this.#sendWhenDue(pending, owner, nowMs);
    this.#useStaticQuota(pending, nowMs);
  }

  #sendWhenDue(
    pending: PendingRequest,
    owner: VmId | undefined,
    nowMs: number,
  ): void {
    const { progress, permitRequest } = pending;
    if (progress.kind !== "unsent" || nowMs < progress.sendAtMs) return;
    if (owner !== undefined && this.#send(pending, owner, nowMs)) return;
    // If a remote owner can't be reached, the request is refused, so that another
    // pool is tried. For the local pool the client waits until an owner is back.
    if (
      permitRequest.pool.dataCentre !== this.#options.context.self.dataCentre
    ) {
      this.#refuse(pending, "noCapacity", nowMs);
      return;
    }
    pending.progress = { kind: "unsent", sendAtMs: nowMs + RETRY_DELAY_MS };
  }

  #send(pending: PendingRequest, owner: VmId, nowMs: number): boolean {
    this.#transmissionNumber += 1;
    const id = toId<AttemptId>(
      `${pending.permitRequest.attemptId}~${this.#transmissionNumber}`,
    );
    const previousProgress = pending.progress;
    this.#byTransmission.set(id, pending);
    pending.progress = {
      kind: "sent",
      owner,
      transmissionId: id,
      sentAtMs: nowMs,
    };
    const permitRequest = requestToSend(pending, { id, nowMs });
    if (
      this.#options.link.send(owner, { type: "permitRequest", permitRequest })
    ) return true;
    this.#byTransmission.delete(id);
    pending.progress = previousProgress;
    return false;
  }

  #useStaticQuota(pending: PendingRequest, nowMs: number): void {
    if (!this.#pending.has(pending)) return;
    const { staticQuota, metrics } = this.#options;
    if (!staticQuota.isOwnerSilent(pending, nowMs)) return;
    const permit = staticQuota.grant(pending.permitRequest, nowMs);
    if (permit === undefined) return;
    metrics.countRetry(permit.pool.service, "ownerSilent");
    this.#cancelTransmission(pending, nowMs);
    this.#acceptGrant(pending, {
      permit,
      granter: { kind: "staticQuota" },
      requestedAtMs: nowMs,
      nowMs,
    });
    if (pending.owner === undefined) return;
    const remainingMs = pending.deadlineAtMs - nowMs;
    staticQuota.reportGrant(pending.owner, permit, remainingMs);
  }

  #acceptGrant(pending: PendingRequest, grant: ReceivedGrant): void {
    const { permit, granter, requestedAtMs, nowMs } = grant;
    this.#options.candidates.recordGrant(permit.pool);
    const { attemptId } = pending.permitRequest;
    const held = {
      permit,
      granter,
      requestedAtMs,
      heldSinceMs: nowMs,
      deadlineAtMs: pending.deadlineAtMs,
    };
    this.#options.held.add(held);
    const usedPermit = { ...permit, attemptId };
    logReceivedPermit(this.#options.logger, { ...held, permit: usedPermit });
    this.#settle(pending, { kind: "granted", permit: usedPermit });
  }

  /** Returns the permit of a grant whose transmission has been canceled. */
  #returnUnusedPermit(
    from: VmId,
    decision: PermitDecision,
    nowMs: number,
  ): void {
    if (decision.kind !== "granted") return;
    const { permit } = decision;
    this.#options.metrics.countDrop("unknownPermit");
    const message = {
      type: "permitRelease",
      pool: permit.pool,
      release: {
        permitId: permit.permitId,
        backendServerId: permit.backendServerId,
        outcome: "notSent",
        durationMs: 0,
      },
    } as const;
    this.#outbox.send(from, message, nowMs);
  }

  /** Cancels the current transmission; a decision that still arrives is not accepted. */
  #cancelTransmission(pending: PendingRequest, nowMs: number): void {
    const { progress, permitRequest } = pending;
    pending.progress = { kind: "unsent", sendAtMs: nowMs };
    if (progress.kind !== "sent") return;
    this.#byTransmission.delete(progress.transmissionId);
    const message = {
      type: "permitCancel",
      pool: permitRequest.pool,
      attemptId: progress.transmissionId,
    } as const;
    this.#outbox.send(progress.owner, message, nowMs);
  }

  #refuse(
    pending: PendingRequest,
    reason:
      | "callerDisconnected"
      | "deadlineWouldBeMissed"
      | "noCapacity"
      | "shuttingDown",
    nowMs: number,
  ): void {
    if (!this.#pending.has(pending)) return;
    this.#cancelTransmission(pending, nowMs);
    const { lease_ms: retryAfterMs } = this.#options.context.settings.pools;
    this.#settle(
      pending,
      refusal(reason, REFUSAL_DETAILS[reason], retryAfterMs),
    );
  }

  #settle(pending: PendingRequest, decision: PermitDecision): void {
    this.#pending.remove(pending);
    pending.settle(decision);
  }

  /** The owner that granted the permit counts it, and so does the current owner. */
  #ownersToNotify(held: HeldPermit): Set<VmId> {
    const owners = new Set<VmId>();
    const owner = this.#options.context.ownerOf(held.permit.pool);
    if (owner !== undefined) owners.add(owner);
    if (held.granter.kind === "owner") owners.add(held.granter.vmId);
    return owners;
  }
}

const REFUSAL_DETAILS = {
  callerDisconnected: "The permit request was canceled",
  deadlineWouldBeMissed: "No permit came before the latest useful start",
  noCapacity: "No owner of the pool can be reached",
  shuttingDown: "The daemon stops",
} as const;
