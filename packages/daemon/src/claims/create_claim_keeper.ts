/**
 * Keeps claims in the platform's object API.
 *
 * @module
 */

import type {
  ClaimOutcome,
  ClaimRecord,
} from "@sassafrasstage/protocol/claims";
import type { ClaimReply } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import type { Settings } from "../settings/settings.js";
import { ActiveAttempts } from "./active_attempts.js";
import { ClaimCommitters } from "./claim_committers.js";
import { hashClaimKey } from "./claim_hash.js";
import type {
  ClaimDecision,
  ClaimKeeper,
  ClaimRequest,
  HeldClaim,
} from "./claim_keeper.js";
import { EPOCH_MS, LayoutKeeper } from "./claim_layout.js";
import { ClaimStoreError } from "./claim_objects.js";
import { UNAVAILABLE } from "./claim_operation.js";
import { ClaimRelay, holderOf } from "./claim_relay.js";
import { ClaimRouter } from "./claim_router.js";
import { HolderLiveness } from "./holder_liveness.js";
import { toKeptOutcome } from "./kept_answer.js";
import { OutcomeRecorder } from "./outcome_recorder.js";
import { sleepUnless } from "./sleep_unless.js";

const RETRY_AFTER_MS = 1000;
/** A platform that fails for a moment only is tried again for so long. */
const RETRY_FOR_MS = 750;
const MIN_POLL_MS = 25;
const MAX_POLL_MS = 500;
/** What is known then is told before the request's deadline answers for it. */
const DECISION_MARGIN_MS = 100;
const EPOCH_CHECK_MS = EPOCH_MS / 10;

export interface ClaimKeeperOptions {
  readonly settings: Settings;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Makes the claim keeper of this process.
 *
 * @example
 * ```ts
 * const claims = createClaimKeeper({ settings, store, network, …common });
 * const decision = await claims.claim(request, signal);
 * if (decision.kind === "held") await run();
 * ```
 */
export function createClaimKeeper(options: ClaimKeeperOptions): ClaimKeeper {
  const { network, settings, clock, logger } = options;
  const attempts = new ActiveAttempts(holderOf(network.self));
  const layout = new LayoutKeeper({
    store: options.store,
    clock,
    logger,
    partitions: settings.claims.partitions,
  });
  const common = { ...options, settings: settings.claims };
  const committers = new ClaimCommitters({
    ...common,
    layout,
    isAbandoned: (record) => attempts.isAbandoned(record),
  });
  const relay = new ClaimRelay({
    ...common,
    commit: (operation) =>
      committers.isReachable(clock.nowMs())
        ? committers.submit(operation)
        : Promise.resolve(UNAVAILABLE),
  });
  const router = new ClaimRouter({ ...common, committers, relay });
  startEpochChecks(layout, logger);
  return new PlatformClaimKeeper({
    ...options,
    attempts,
    router,
    recorder: new OutcomeRecorder({ ...options, router, attempts }),
    liveness: new HolderLiveness(network),
  });
}

function startEpochChecks(layout: LayoutKeeper, logger: Logger): void {
  setInterval(() => {
    layout.advanceEpoch().catch((error: unknown) => {
      if (
        !(error instanceof PlatformError || error instanceof ClaimStoreError)
      ) {
        throw error;
      }
      logger.warn("claimEpochUnavailable", { detail: error.message });
    });
  }, EPOCH_CHECK_MS).unref();
}

interface KeeperParts extends ClaimKeeperOptions {
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

class PlatformClaimKeeper implements ClaimKeeper {
  readonly #parts: KeeperParts;

  constructor(parts: KeeperParts) {
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
