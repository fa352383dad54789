/**
 * This daemon as an asker: it brings asks to the pools' owners, wherever these
 * are, and keeps the permits it was granted.
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
import type { Metrics } from "../observability/metrics.js";
import type { CandidatePools } from "./candidate_pools.js";
import type { ColdSignSender } from "./cold_sign_sender.js";
import { CallObserver } from "./call_observer.js";
import type { FallbackGrants } from "./fallback_grants.js";
import type { HeldPermit, HeldPermits, PermitGranter } from "./held_permits.js";
import type { LatencyBaselines } from "./latency_baseline.js";
import { OwnerOutbox } from "./owner_outbox.js";
import {
  askToSend,
  type NewAsk,
  type PendingAsk,
  startAsk,
} from "./pending_ask.js";
import type { PendingAsks } from "./pending_asks.js";
import type { PermitLink } from "./permit_link.js";
import type { PoolContext } from "./pool_context.js";
import { refusal } from "./refusal.js";
import type { WarmthLog } from "./warmth_log.js";

/** After an owner said that the pool isn't its own, or can't be reached. */
const ASK_AGAIN_MS = 25;

export interface AskerRoleOptions {
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly held: HeldPermits;
  readonly fallback: FallbackGrants;
  readonly candidates: CandidatePools;
  readonly pending: PendingAsks;
  readonly warmth: WarmthLog;
  readonly coldSigns: ColdSignSender;
  readonly baselines: LatencyBaselines;
  readonly metrics: Metrics;
}

interface ReceivedGrant {
  readonly permit: Permit;
  readonly granter: PermitGranter;
  readonly nowMs: number;
}

/** Driven by messages and ticks; every call takes the present time. */
export class AskerRole {
  readonly #options: AskerRoleOptions;
  readonly #outbox: OwnerOutbox;
  readonly #observer: CallObserver;
  readonly #pending: PendingAsks;
  readonly #bySending = new Map<AttemptId, PendingAsk>();
  #sendingNumber = 0;

  constructor(options: AskerRoleOptions) {
    this.#options = options;
    this.#pending = options.pending;
    this.#outbox = new OwnerOutbox(options.link);
    this.#observer = new CallObserver(options);
  }

  /** The returned function cancels the ask. */
  ask(newAsk: NewAsk, nowMs: number): (nowMs: number) => void {
    const isSpill = this.#options.candidates.isSpill(newAsk.ask.pool, nowMs);
    const ask = isSpill ? { ...newAsk.ask, isSpill } : newAsk.ask;
    const pending = startAsk({ ...newAsk, ask }, nowMs);
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
    this.#observer.note(held, release, nowMs);
    for (const owner of this.#ownersToTell(held)) {
      const message = {
        type: "permitRelease",
        pool: permit.pool,
        release,
      } as const;
      this.#outbox.send(owner, message, nowMs);
    }
  }

  noteFirstToken(permit: Permit, firstTokenMs: number, nowMs: number): void {
    const held = this.#options.held.find(permit.permitId);
    if (held === undefined) return;
    this.#observer.noteFirstToken(held, firstTokenMs, nowMs);
  }

  noteDecision(
    from: VmId,
    decided: {
      readonly attemptId: AttemptId;
      readonly decision: PermitDecision;
    },
    nowMs: number,
  ): void {
    const { attemptId, decision } = decided;
    const pending = this.#bySending.get(attemptId);
    if (
      pending?.progress.kind !== "sent" || pending.progress.owner !== from
    ) {
      this.#giveBack(from, decision, nowMs);
      return;
    }
    this.#bySending.delete(attemptId);
    if (!this.#options.context.isConfigurationConfirmed(nowMs)) {
      // It was granted before a pause of this process: ask again after it.
      this.#giveBack(from, decision, nowMs);
      pending.progress = { kind: "unsent", sendAtMs: nowMs + ASK_AGAIN_MS };
      return;
    }
    if (decision.kind === "granted") {
      const granter = { kind: "owner", vmId: from } as const;
      this.#takeGrant(pending, { permit: decision.permit, granter, nowMs });
      return;
    }
    if (decision.reason === "notReady") {
      pending.progress = { kind: "unsent", sendAtMs: nowMs + ASK_AGAIN_MS };
      return;
    }
    const { pool } = pending.ask;
    this.#options.candidates.noteRefusal(pool, decision.retryAfterMs, nowMs);
    this.#settle(pending, decision);
  }

  /**
   * Answers a new owner. Grants of any other owner that are still under way
   * are not in the answer, so they must not be taken any more.
   */
  noteOutstandingRequest(
    from: VmId,
    request: { readonly pool: PoolId; readonly requestNumber: number },
    nowMs: number,
  ): void {
    const { context, held, link, warmth } = this.#options;
    const key = poolKey(request.pool);
    const moved = this.#pending.ofPool(request.pool).filter((pending) =>
      pending.progress.kind === "sent" && pending.progress.owner !== from
    );
    for (const pending of moved) this.#withdraw(pending, nowMs);
    const servers = context.layout().pools.get(key)?.servers ?? [];
    link.send(from, {
      type: "outstandingReply",
      pool: request.pool,
      requestNumber: request.requestNumber,
      permits: held.outstanding(request.pool, nowMs),
      observations: warmth.observations(servers.map((s) => s.id), nowMs),
    });
    for (const pending of moved) this.#advance(pending, nowMs);
  }

  noteConnected(vmId: VmId, nowMs: number): void {
    this.#outbox.flush(vmId, nowMs);
  }

  /** What was sent may be lost: it is canceled later and asked again. */
  noteDisconnected(vmId: VmId, nowMs: number): void {
    for (const pending of this.#pending.all()) {
      if (pending.progress.kind !== "sent") continue;
      if (pending.progress.owner !== vmId) continue;
      this.#withdraw(pending, nowMs);
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

  #advance(pending: PendingAsk, nowMs: number): void {
    if (!this.#pending.has(pending)) return;
    if (nowMs >= pending.latestStartAtMs) {
      this.#refuse(pending, "deadlineWouldBeMissed", nowMs);
      return;
    }
    const { context } = this.#options;
    const owner = context.ownerOf(pending.ask.pool);
    const { progress } = pending;
    if (pending.owner !== owner) {
      pending.owner = owner;
      pending.ownerSinceMs = nowMs;
    }
    if (progress.kind === "sent" && progress.owner !== owner) {
      this.#options.metrics.countEvent("askMoved");
      this.#withdraw(pending, nowMs);
    }
    this.#sendWhenDue(pending, owner, nowMs);
    this.#useFallback(pending, nowMs);
  }

  #sendWhenDue(
    pending: PendingAsk,
    owner: VmId | undefined,
    nowMs: number,
  ): void {
    const { progress, ask } = pending;
    if (progress.kind !== "unsent" || nowMs < progress.sendAtMs) return;
    if (owner !== undefined && this.#send(pending, owner, nowMs)) return;
    // A foreign owner that can't be reached is no use; the own one comes back.
    if (ask.pool.dataCentre !== this.#options.context.self.dataCentre) {
      this.#refuse(pending, "noCapacity", nowMs);
      return;
    }
    pending.progress = { kind: "unsent", sendAtMs: nowMs + ASK_AGAIN_MS };
  }

  #send(pending: PendingAsk, owner: VmId, nowMs: number): boolean {
    this.#sendingNumber += 1;
    const id = toId<AttemptId>(
      `${pending.ask.attemptId}~${this.#sendingNumber}`,
    );
    const before = pending.progress;
    this.#bySending.set(id, pending);
    pending.progress = {
      kind: "sent",
      owner,
      sendingId: id,
      sentAtMs: nowMs,
    };
    const ask = askToSend(pending, { id, nowMs });
    if (this.#options.link.send(owner, { type: "permitAsk", ask })) return true;
    this.#bySending.delete(id);
    pending.progress = before;
    return false;
  }

  #useFallback(pending: PendingAsk, nowMs: number): void {
    if (!this.#pending.has(pending)) return;
    const { fallback, metrics } = this.#options;
    if (!fallback.isOwnerSilent(pending, nowMs)) return;
    const permit = fallback.grant(pending.ask, nowMs);
    if (permit === undefined) return;
    metrics.countRetry(permit.pool.service, "ownerSilent");
    this.#withdraw(pending, nowMs);
    this.#takeGrant(pending, { permit, granter: { kind: "fallback" }, nowMs });
  }

  #takeGrant(pending: PendingAsk, grant: ReceivedGrant): void {
    const { permit, granter, nowMs } = grant;
    this.#options.candidates.noteGrant(permit.pool);
    this.#options.held.add({
      permit,
      granter,
      heldFromMs: nowMs,
      endsAtMs: pending.deadlineAtMs,
    });
    const { attemptId } = pending.ask;
    this.#settle(pending, {
      kind: "granted",
      permit: { ...permit, attemptId },
    });
  }

  /** A grant that nobody waits for; its sending was canceled. */
  #giveBack(from: VmId, decision: PermitDecision, nowMs: number): void {
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

  /** Takes a sending back; its decision, if one comes, is not taken. */
  #withdraw(pending: PendingAsk, nowMs: number): void {
    const { progress, ask } = pending;
    pending.progress = { kind: "unsent", sendAtMs: nowMs };
    if (progress.kind !== "sent") return;
    this.#bySending.delete(progress.sendingId);
    const message = {
      type: "permitCancel",
      pool: ask.pool,
      attemptId: progress.sendingId,
    } as const;
    this.#outbox.send(progress.owner, message, nowMs);
  }

  #refuse(
    pending: PendingAsk,
    reason:
      | "callerDisconnected"
      | "deadlineWouldBeMissed"
      | "noCapacity"
      | "shuttingDown",
    nowMs: number,
  ): void {
    if (!this.#pending.has(pending)) return;
    this.#withdraw(pending, nowMs);
    const { lease_ms: retryAfterMs } = this.#options.context.settings.pools;
    this.#settle(pending, refusal(reason, REFUSALS[reason], retryAfterMs));
  }

  #settle(pending: PendingAsk, decision: PermitDecision): void {
    this.#pending.remove(pending);
    pending.settle(decision);
  }

  /** The granter counts the permit; an owner that followed it does too. */
  #ownersToTell(held: HeldPermit): Set<VmId> {
    const owners = new Set<VmId>();
    const owner = this.#options.context.ownerOf(held.permit.pool);
    if (owner !== undefined) owners.add(owner);
    if (held.granter.kind === "owner") owners.add(held.granter.vmId);
    return owners;
  }
}

const REFUSALS = {
  callerDisconnected: "The ask was canceled",
  deadlineWouldBeMissed: "No permit came before the latest useful start",
  noCapacity: "No owner of the pool can be reached",
  shuttingDown: "The daemon stops",
} as const;
