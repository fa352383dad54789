/**
 * Decides about keyed requests by what the platform has recorded.
 *
 * @module
 */

import type {
  ClaimOutcome,
  ClaimRecord,
} from "@sassafrasstage/protocol/claims";
import type { ClaimReply } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ActiveAttempts } from "./active_attempts.js";
import { hashClaimKey } from "./claim_hash.js";
import type {
  ClaimDecision,
  ClaimRequest,
  ClaimStore,
  HeldClaim,
} from "./claim_store.js";
import { holderOf } from "./claim_relay.js";
import type { ClaimRouter } from "./claim_router.js";
import type { HolderLiveness } from "./holder_liveness.js";
import { toKeptOutcome } from "./kept_answer.js";
import type { OutcomeRecorder } from "./outcome_recorder.js";
import { sleepUnless } from "./sleep_unless.js";

const RETRY_AFTER_MS = 1000;
/** A platform that fails for a moment only is tried again for so long. */
const RETRY_FOR_MS = 750;
const MIN_POLL_MS = 25;
const MAX_POLL_MS = 500;
/** What is known then is told before the request's deadline answers for it. */
const DECISION_MARGIN_MS = 100;

/** What the keeper is put together from. */
export interface ClaimStoreParts {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly attempts: ActiveAttempts;
  readonly router: ClaimRouter;
  readonly recorder: OutcomeRecorder;
  readonly liveness: HolderLiveness;
}

/** One pause of a request that waits for another one with its key. */
interface ClaimWait {
  readonly request: ClaimRequest;
  readonly pollMs: number;
  readonly signal: AbortSignal;
}

/** The claim keeper of a process. */
export class PlatformClaimStore implements ClaimStore {
  readonly #parts: ClaimStoreParts;

  constructor(parts: ClaimStoreParts) {
    this.#parts = parts;
  }

  async claim(
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const { attempts, metrics } = this.#parts;
    attempts.begin(request.attemptId, request.deadlineAtMs);
    const decision = await this.#decide(request, signal);
    // From here on a claim that may still be made for it counts as abandoned.
    if (decision.kind !== "held") attempts.end(request.attemptId);
    metrics.countEvent(`claim.${decision.kind}`);
    return decision;
  }

  async recordOutcome(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): Promise<boolean> {
    const { attempts, recorder, clock } = this.#parts;
    const kept = toKeptOutcome(outcome);
    const deadlineAtMs = attempts.deadlineAtMs(claim.attemptId);
    attempts.settle(claim.attemptId, kept);
    const recording = recorder.record(claim, kept);
    const remainingMs = (deadlineAtMs ?? 0) - clock.nowMs();
    const abort = new AbortController();
    const lateness = sleepUnless(Math.max(0, remainingMs), abort.signal);
    const isRecorded = await Promise.race([recording, lateness]);
    abort.abort();
    return isRecorded ?? false;
  }

  async flush(timeoutMs: number): Promise<void> {
    await this.#parts.recorder.flush(timeoutMs);
  }

  async #decide(
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const { clock } = this.#parts;
    const giveUpAtMs = clock.nowMs() + RETRY_FOR_MS;
    let holder: string | undefined;
    let pollMs = MIN_POLL_MS;
    while (!this.#isOver(request, signal)) {
      const reply = await this.#commit(request, holder);
      const decision = this.#toDecision(request, reply);
      if (decision !== undefined) return decision;
      if (reply.kind === "existing") {
        holder = reply.record.holder;
        if (this.#isDead(holder)) return { kind: "outcomeUnknown" };
        const known = await this.#waitForHolder(reply.record, {
          request,
          pollMs,
          signal,
        });
        if (known !== undefined) return known;
      } else if (holder === undefined && clock.nowMs() >= giveUpAtMs) {
        return unavailable("Neither this VM nor a peer could record the claim");
      } else {
        await sleepUnless(this.#boundWaitMs(request, pollMs), signal);
      }
      pollMs = Math.min(pollMs * 2, MAX_POLL_MS);
    }
    if (holder !== undefined) return { kind: "outcomeUnknown" };
    return unavailable("The claim could not be recorded in time");
  }

  /** `undefined` when the answer is not known yet. */
  #toDecision(
    request: ClaimRequest,
    reply: ClaimReply,
  ): ClaimDecision | undefined {
    switch (reply.kind) {
      case "committed": {
        const { key, attemptId } = request;
        return { kind: "held", claim: { key, attemptId } };
      }
      case "unavailable":
        return undefined;
      case "existing": {
        const { contentSha256, state, answer } = reply.record;
        if (contentSha256 !== request.contentSha256) {
          return { kind: "otherContent" };
        }
        if (state === "running") return undefined;
        if (answer === undefined) return { kind: "outcomeUnknown" };
        return { kind: "answered", answer };
      }
    }
  }

  async #commit(
    request: ClaimRequest,
    holder: string | undefined,
  ): Promise<ClaimReply> {
    const { router, liveness, network, clock } = this.#parts;
    const record: ClaimRecord = {
      key: request.key,
      contentSha256: request.contentSha256,
      attemptId: request.attemptId,
      holder: holderOf(network.self),
      state: "running",
    };
    // The holder knows whether it still runs the attempt.
    const asked = holder === undefined
      ? undefined
      : liveness.reachableVm(holder, clock.nowMs());
    const result = await router.commit({
      kind: "claim",
      hash: hashClaimKey(request.key),
      record,
      expiresAtMs: decideAtMs(request),
    }, asked);
    return result.kind === "recorded" ? { kind: "unavailable" } : result;
  }

  /** The outcome, if it becomes known in this process within the poll. */
  async #waitForHolder(
    record: ClaimRecord,
    wait: ClaimWait,
  ): Promise<ClaimDecision | undefined> {
    const { request, pollMs, signal } = wait;
    const poll = sleepUnless(this.#boundWaitMs(request, pollMs), signal);
    const local = this.#parts.attempts.outcomeOf(record.attemptId);
    const outcome = await Promise.race([local ?? poll, poll]);
    switch (outcome?.kind) {
      case "answered":
        return { kind: "answered", answer: outcome.answer };
      case "unknown":
        return { kind: "outcomeUnknown" };
      case "notRun":
      case undefined:
        await poll;
        return undefined;
    }
  }

  #boundWaitMs(request: ClaimRequest, waitMs: number): number {
    const remainingMs = decideAtMs(request) - this.#parts.clock.nowMs();
    return Math.max(0, Math.min(waitMs, remainingMs));
  }

  #isDead(holder: string): boolean {
    const { liveness, clock } = this.#parts;
    return liveness.isDead(holder, clock.nowMs());
  }

  #isOver(request: ClaimRequest, signal: AbortSignal): boolean {
    return signal.aborted ||
      this.#parts.clock.nowMs() >= decideAtMs(request);
  }
}

function decideAtMs(request: ClaimRequest): number {
  return request.deadlineAtMs - DECISION_MARGIN_MS;
}

function unavailable(detail: string): ClaimDecision {
  return { kind: "unavailable", detail, retryAfterMs: RETRY_AFTER_MS };
}
