/**
 * Finds the prompt parts and whole requests that crash servers, and refuses
 * them. A whole request is judged like a part that no other request has.
 *
 * @module
 */

import type { AttemptId, SuspectId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { TakePoisonPartNews } from "../peers/heartbeat_content.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import { compareText } from "../peers/rendezvous.js";
import { BlockedPart } from "./blocked_part.js";
import {
  type CallObservation,
  NO_OBSERVATION,
  type ObservedCall,
} from "./call_observation.js";
import { judgeParts, type Verdict } from "./judge_parts.js";
import { type ObservedCrash, OpenCalls } from "./open_calls.js";
import type { PartBlock, PartBlocks } from "./part_blocks.js";
import {
  type ClearReason,
  type EvidenceSource,
  PartDecisionLog,
} from "./part_decision_log.js";
import { KnownEvidence, type NewCrashReport } from "./part_evidence.js";
import { isRequestSuspect } from "./request_suspect.js";
import { PartNewsOutbox } from "./part_news_outbox.js";
import { PartNewsSharing, type ReceivedPartNews } from "./part_news_sharing.js";
import { SharedBlocks } from "./shared_blocks.js";

export interface PoisonPartsOptions {
  readonly network: PeerNetwork & {
    setPoisonPartNews(take: TakePoisonPartNews): void;
  };
  readonly blocks: PartBlocks;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Whether a request may be sent to a server. */
export type Admission =
  | { readonly kind: "admitted" }
  /** Sent to find out whether the blocked part still crashes servers. */
  | { readonly kind: "probe"; readonly part: SuspectId }
  | {
    readonly kind: "refused";
    readonly part: SuspectId;
    readonly retryAfterMs: number;
  };

/** A VM that has just started knows no successes yet. */
const MIN_OBSERVATION_MS = 5000;
/**
 * Time for other VMs to tell of successes of a part after its first crash: a
 * heartbeat each way, and twice that through other data centres.
 */
const SETTLE_MS = 500;
/** Of each kind in one report; those without a recent success come first. */
const MAX_REPORTED_PARTS = 64;
const ADMITTED: Admission = { kind: "admitted" };

export class PoisonParts {
  readonly #clock: Clock;
  readonly #log: PartDecisionLog;
  readonly #startedAtMs: number;
  readonly #evidence = new KnownEvidence();
  readonly #blocked = new Map<SuspectId, BlockedPart>();
  /**
   * Parts to be blocked unless other VMs tell of successes by this time. Until
   * then this VM alone refuses them; it has none of their usual requests.
   */
  readonly #heldUntilMs = new Map<SuspectId, number>();
  readonly #openCalls: OpenCalls;
  readonly #outbox: PartNewsOutbox;
  readonly #sharedBlocks: SharedBlocks;
  /** When the evidence has to be judged; infinite if nothing is new. */
  #judgeAtMs = Number.POSITIVE_INFINITY;

  constructor(options: PoisonPartsOptions) {
    const { network, blocks, clock, metrics } = options;
    this.#clock = clock;
    this.#log = new PartDecisionLog(options);
    this.#startedAtMs = clock.nowMs();
    const { ledger, successes } = this.#evidence;
    this.#outbox = new PartNewsOutbox(ledger, successes);
    this.#sharedBlocks = new SharedBlocks(network, blocks);
    this.#openCalls = new OpenCalls({
      clock,
      onProven: (call, soundAtMs) => {
        this.#recordProven(call, soundAtMs);
      },
      onCrash: (crash) => {
        this.#recordCrash(crash);
      },
      onEnded: ({ request, parts }) => {
        for (const part of parts) this.#blocked.get(part)?.recordEnded(request);
      },
    });
    new PartNewsSharing({
      network,
      outbox: this.#outbox,
      clock,
      onHeartbeat: (nowMs) => {
        this.#update(nowMs);
      },
      onNews: (received) => {
        this.#handleNews(received);
      },
    }).start();
    blocks.onChanged((listed) => {
      this.#handleListing(listed);
    });
    metrics.registerGauge("blockedPromptParts", () => this.#blocked.size);
    metrics.registerGauge(
      "accusedPromptParts",
      () => ledger.lastAccusedMs().size,
    );
  }

  /**
   * Decides whether a request may be sent to a server; called right before each
   * call. Refusals are logged and counted.
   */
  admit(request: AttemptId, parts: readonly SuspectId[]): Admission {
    if (parts.length === 0) return ADMITTED;
    const nowMs = this.#clock.nowMs();
    this.#judgeIfDue(nowMs);
    const blocked = this.#findBlocked(parts);
    const [first] = blocked;
    if (first === undefined) {
      return this.#admitUnlessHeld(request, parts, nowMs);
    }
    const isProbe = blocked.every((block) => block.canProbe(request, nowMs)) &&
      this.#sharedBlocks.isOwner(first.part, nowMs);
    return isProbe
      ? this.#admitProbe(request, blocked, nowMs)
      : this.#refuse(request, blocked, nowMs);
  }

  /** Begins to observe a call that is about to be sent. */
  observe(call: ObservedCall): CallObservation {
    if (call.parts.length === 0) return NO_OBSERVATION;
    for (const part of call.parts) {
      this.#blocked.get(part)?.recordSent(call.request);
    }
    return this.#openCalls.add(call);
  }

  /**
   * Whether a request may be sent to another server after one has crashed under
   * it: all its parts must have been found sound recently. As most requests are
   * sent only once, one crash is no evidence against a whole request.
   */
  mayRetry(parts: readonly SuspectId[]): boolean {
    const nowMs = this.#clock.nowMs();
    const { successes } = this.#evidence;
    return parts.every((part) =>
      successes.isValid(part, nowMs) ||
      (isRequestSuspect(part) && this.#evidence.crashCount(part) <= 1)
    );
  }

  /** Whether a server has crashed under the parts since they last succeeded. */
  isAccused(parts: readonly SuspectId[]): boolean {
    const nowMs = this.#clock.nowMs();
    const { successes } = this.#evidence;
    return parts.some((part) =>
      !successes.isValid(part, nowMs) && this.#evidence.crashCount(part) > 0
    );
  }

  /** Ordered, so that all VMs choose the same owner for the request's probe. */
  #findBlocked(parts: readonly SuspectId[]): BlockedPart[] {
    if (this.#blocked.size === 0) return [];
    return parts.flatMap((part) => this.#blocked.get(part) ?? [])
      .sort((a, b) => compareText(a.part, b.part));
  }

  #admitUnlessHeld(
    request: AttemptId,
    parts: readonly SuspectId[],
    nowMs: number,
  ): Admission {
    for (const part of parts) {
      const heldUntilMs = this.#heldUntilMs.get(part);
      if (heldUntilMs === undefined) continue;
      const retryAfterMs = Math.ceil(heldUntilMs - nowMs);
      this.#log.refused(request, { part, retryAfterMs });
      return { kind: "refused", part, retryAfterMs };
    }
    return ADMITTED;
  }

  #admitProbe(
    request: AttemptId,
    blocked: readonly BlockedPart[],
    nowMs: number,
  ): Admission {
    const parts = blocked.map((block) => block.part);
    const [part] = parts;
    if (part === undefined) return ADMITTED;
    for (const block of blocked) block.admitProbe(request, nowMs);
    this.#log.probed(request, parts);
    return { kind: "probe", part };
  }

  #refuse(
    request: AttemptId,
    blocked: readonly BlockedPart[],
    nowMs: number,
  ): Admission {
    for (const block of blocked) block.recordRefusal(nowMs);
    const [longest] = blocked.toSorted((a, b) =>
      b.retryAfterMs(nowMs) - a.retryAfterMs(nowMs)
    );
    if (longest === undefined) return ADMITTED;
    const refusal = {
      part: longest.part,
      retryAfterMs: Math.ceil(longest.retryAfterMs(nowMs)),
    };
    this.#log.refused(request, refusal);
    return { kind: "refused", ...refusal };
  }

  #recordProven({ parts }: ObservedCall, soundAtMs: number): void {
    for (const part of parts) {
      const success = { atMs: soundAtMs, isOwn: true };
      if (!this.#evidence.successes.record(part, success)) continue;
      this.#heldUntilMs.delete(part);
      if (this.#clearIfSound(part, soundAtMs)) {
        this.#outbox.announceSuccess(part);
        this.#sharedBlocks.end(part, { withdraw: true });
      }
    }
  }

  #recordCrash(observed: ObservedCrash): void {
    const nowMs = this.#clock.nowMs();
    const { call, unprovenCalls } = observed;
    const { id, startedAt } = call.server;
    const report = {
      server: id,
      startedAt,
      ageMs: 0,
      parts: this.#chooseReported(unprovenCalls, nowMs),
    };
    this.#log.crashed(observed, report);
    const crash = this.#evidence.addCrash(report, nowMs);
    if (crash === undefined) return;
    this.#accuse(crash, { kind: "own" }, nowMs);
    this.#outbox.addCrash(crash, "here");
  }

  #chooseReported(
    calls: readonly ObservedCall[],
    nowMs: number,
  ): SuspectId[] {
    const { successes } = this.#evidence;
    const accused = [...new Set(calls.flatMap((call) => call.parts))];
    const sound = accused.filter((part) => successes.isValid(part, nowMs));
    const unknown = accused.filter((part) => !successes.isValid(part, nowMs));
    const ordered = [...unknown, ...sound];
    return [
      ...ordered.filter((part) => !isRequestSuspect(part))
        .slice(0, MAX_REPORTED_PARTS),
      ...ordered.filter(isRequestSuspect).slice(0, MAX_REPORTED_PARTS),
    ];
  }

  #handleNews({ from, news, relay }: ReceivedPartNews): void {
    const nowMs = this.#clock.nowMs();
    for (const report of news.crashes) {
      const crash = this.#evidence.addCrash(report, nowMs);
      if (crash === undefined) continue;
      this.#accuse(crash, { kind: "peer", peer: from }, nowMs);
      if (relay) this.#outbox.addCrash(crash, "elsewhere");
    }
    for (const { part, ageMs } of news.successes) {
      const atMs = nowMs - ageMs;
      if (!relay) this.#outbox.recordTold(part, atMs);
      if (!this.#evidence.successes.record(part, { atMs, isOwn: false })) {
        continue;
      }
      this.#heldUntilMs.delete(part);
      if (!this.#clearIfSound(part, atMs)) continue;
      this.#sharedBlocks.end(part, { withdraw: false });
      if (relay) this.#outbox.announceSuccess(part);
    }
    this.#judgeIfDue(nowMs);
  }

  #accuse(
    crash: NewCrashReport,
    source: EvidenceSource,
    nowMs: number,
  ): void {
    for (const part of crash.report.parts) {
      this.#blocked.get(part)?.recordCrash(crash.atMs);
    }
    this.#judgeAtMs = nowMs;
    this.#log.accused(crash, source, nowMs);
  }

  #handleListing(listed: readonly PartBlock[]): void {
    const nowMs = this.#clock.nowMs();
    const changes = this.#sharedBlocks.update(listed);
    for (const block of changes.listed) {
      const known = this.#blocked.get(block.part);
      if (known === undefined) this.#block(block, undefined, nowMs);
      else known.merge(block, nowMs);
    }
    for (const part of changes.withdrawn) {
      if (!this.#blocked.has(part)) continue;
      this.#evidence.clear(part, nowMs);
      this.#unblock(part, "withdrawn");
    }
  }

  /** What is due with each heartbeat. */
  #update(nowMs: number): void {
    this.#evidence.dropExpired(nowMs);
    this.#judgeIfDue(nowMs);
    for (const block of [...this.#blocked.values()]) {
      if (block.isUnused(nowMs)) this.#endUnused(block, nowMs);
      else this.#sharedBlocks.publishIfDue(block, nowMs);
    }
  }

  #endUnused({ part }: BlockedPart, nowMs: number): void {
    this.#evidence.clear(part, nowMs);
    this.#unblock(part, "unused");
    const withdraw = this.#sharedBlocks.isOwner(part, nowMs);
    this.#sharedBlocks.end(part, { withdraw });
  }

  #judgeIfDue(nowMs: number): void {
    if (nowMs < this.#judgeAtMs) return;
    const observedSinceMs = this.#startedAtMs + MIN_OBSERVATION_MS;
    if (nowMs < observedSinceMs) {
      this.#judgeAtMs = observedSinceMs;
      return;
    }
    this.#judgeAtMs = Number.POSITIVE_INFINITY;
    this.#heldUntilMs.clear();
    const blocked = new Set(this.#blocked.keys());
    for (const verdict of judgeParts(this.#evidence.toEvidence(blocked))) {
      this.#applyVerdict(verdict, nowMs);
    }
  }

  #applyVerdict(verdict: Verdict, nowMs: number): void {
    const { part, crashes } = verdict;
    const knownAtMs = Math.min(...crashes.map((crash) => crash.knownAtMs));
    const settlesAtMs = knownAtMs + SETTLE_MS;
    if (nowMs < settlesAtMs) {
      this.#heldUntilMs.set(part, settlesAtMs);
      this.#judgeAtMs = Math.min(this.#judgeAtMs, settlesAtMs);
      return;
    }
    const lastCrashAtMs = crashes.at(-1)?.atMs ?? nowMs;
    const block = {
      part,
      crashes: crashes.length,
      failedProbes: 0,
      lastCrashAgeMs: Math.max(0, nowMs - lastCrashAtMs),
    };
    this.#block(block, verdict, nowMs);
  }

  /** @param verdict Undefined if another VM has decided */
  #block(block: PartBlock, verdict: Verdict | undefined, nowMs: number): void {
    const blocked = new BlockedPart(block, nowMs);
    this.#blocked.set(block.part, blocked);
    this.#log.blocked(block, verdict, nowMs);
    this.#sharedBlocks.publishIfDue(blocked, nowMs);
  }

  /** Returns whether the success has ended a block. */
  #clearIfSound(part: SuspectId, soundAtMs: number): boolean {
    const block = this.#blocked.get(part);
    if (block === undefined || soundAtMs <= block.lastCrashAtMs) return false;
    this.#unblock(part, "success");
    return true;
  }

  #unblock(part: SuspectId, reason: ClearReason): void {
    this.#blocked.delete(part);
    // Crashes that the part explained may count against others now.
    this.#judgeAtMs = this.#clock.nowMs();
    this.#log.cleared(part, reason);
  }
}
