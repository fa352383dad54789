/**
 * Decides on requests with an idempotency key by the claims in the platform.
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
import { formatHolder } from "./claim_relay.js";
import type { ClaimRouter } from "./claim_router.js";
import type { HolderLiveness } from "./holder_liveness.js";
import { toStoredOutcome } from "./stored_outcome.js";
import type { OutcomeRecorder } from "./outcome_recorder.js";
import { abortableSleep } from "./abortable_sleep.js";

const RETRY_AFTER_MS = 1000;
/** How long a claim is retried while the platform is unavailable. */
const RETRY_WINDOW_MS = 750;
const MIN_POLL_MS = 25;
const MAX_POLL_MS = 500;
/** How long before the deadline a decision is returned, to avoid a timeout. */
const DECISION_MARGIN_MS = 100;

export interface PlatformClaimStoreOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly attempts: ActiveAttempts;
  readonly router: ClaimRouter;
  readonly recorder: OutcomeRecorder;
  readonly liveness: HolderLiveness;
}

/** One polling interval of a request that waits for another with its key. */
interface ClaimWait {
  readonly request: ClaimRequest;
  readonly pollMs: number;
  readonly signal: AbortSignal;
}

/** The claim store of a process, on top of the platform's object API. */
export class PlatformClaimStore implements ClaimStore {
  readonly #options: PlatformClaimStoreOptions;

  constructor(options: PlatformClaimStoreOptions) {
    this.#options = options;
  }

  async claim(
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const { attempts, metrics } = this.#options;
    attempts.begin(request.attemptId, request.deadlineAtMs);
    const decision = await this.#decide(request, signal);
    // If its claim is still committed later, that claim counts as abandoned.
    if (decision.kind !== "held") attempts.end(request.attemptId);
    metrics.countEvent(`claim.${decision.kind}`);
    return decision;
  }

  async recordOutcome(
    claim: HeldClaim,
    outcome: ClaimOutcome,
  ): Promise<boolean> {
    const { attempts, recorder, clock } = this.#options;
    const storedOutcome = toStoredOutcome(outcome);
    const deadlineAtMs = attempts.deadlineAtMs(claim.attemptId);
    attempts.settle(claim.attemptId, storedOutcome);
    const recording = recorder.record(claim, storedOutcome);
    const remainingMs = (deadlineAtMs ?? 0) - clock.nowMs();
    const abort = new AbortController();
    const deadlineTimer = abortableSleep(
      Math.max(0, remainingMs),
      abort.signal,
    );
    const isRecorded = await Promise.race([recording, deadlineTimer]);
    abort.abort();
    return isRecorded ?? false;
  }

  async flush(timeoutMs: number): Promise<void> {
    await this.#options.recorder.flush(timeoutMs);
  }

  async #decide(
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const { clock } = this.#options;
    const retryUntilMs = clock.nowMs() + RETRY_WINDOW_MS;
    let holder: string | undefined;
    let pollMs = MIN_POLL_MS;
    while (!this.#isAbortedOrDue(request, signal)) {
      const reply = await this.#commit(request, holder);
      const decision = this.#toDecision(request, reply);
      if (decision !== undefined) return decision;
      if (reply.kind === "existing") {
        holder = reply.record.holder;
        if (this.#isDead(holder)) return { kind: "outcomeUnknown" };
        const settledDecision = await this.#waitForHolder(reply.record, {
          request,
          pollMs,
          signal,
        });
        if (settledDecision !== undefined) return settledDecision;
      } else if (holder === undefined && clock.nowMs() >= retryUntilMs) {
        return unavailable("Neither this VM nor a peer could record the claim");
      } else {
        await abortableSleep(this.#capWaitMs(request, pollMs), signal);
      }
      pollMs = Math.min(pollMs * 2, MAX_POLL_MS);
    }
    if (holder !== undefined) return { kind: "outcomeUnknown" };
    return unavailable("The claim could not be recorded in time");
  }

  /** Returns `undefined` if no decision is possible yet. */
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
    const { router, liveness, network, clock } = this.#options;
    const record: ClaimRecord = {
      key: request.key,
      contentSha256: request.contentSha256,
      attemptId: request.attemptId,
      holder: formatHolder(network.self),
      state: "running",
    };
    // The holder knows whether it still runs the attempt.
    const holderVm = holder === undefined
      ? undefined
      : liveness.reachableVm(holder, clock.nowMs());
    const result = await router.commit({
      kind: "claim",
      hash: hashClaimKey(request.key),
      record,
      expiresAtMs: decisionDeadlineAtMs(request),
    }, holderVm);
    return result.kind === "recorded" ? { kind: "unavailable" } : result;
  }

  /**
   * Waits for up to one polling interval. Resolves to a decision if the attempt
   * runs in this process and its outcome becomes known in the meantime.
   */
  async #waitForHolder(
    record: ClaimRecord,
    wait: ClaimWait,
  ): Promise<ClaimDecision | undefined> {
    const { request, pollMs, signal } = wait;
    const poll = abortableSleep(this.#capWaitMs(request, pollMs), signal);
    const local = this.#options.attempts.outcomeOf(record.attemptId);
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

  #capWaitMs(request: ClaimRequest, waitMs: number): number {
    const remainingMs = decisionDeadlineAtMs(request) -
      this.#options.clock.nowMs();
    return Math.max(0, Math.min(waitMs, remainingMs));
  }

  #isDead(holder: string): boolean {
    const { liveness, clock } = this.#options;
    return liveness.isDead(holder, clock.nowMs());
  }

  #isAbortedOrDue(request: ClaimRequest, signal: AbortSignal): boolean {
    return signal.aborted ||
      this.#options.clock.nowMs() >= decisionDeadlineAtMs(request);
  }
}

function decisionDeadlineAtMs(request: ClaimRequest): number {
  return request.deadlineAtMs - DECISION_MARGIN_MS;
}

function unavailable(detail: string): ClaimDecision {
  return { kind: "unavailable", detail, retryAfterMs: RETRY_AFTER_MS };
}
