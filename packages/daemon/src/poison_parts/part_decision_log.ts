/**
 * Logs and counts what is decided about prompt parts.
 *
 * @module
 */

import type { AttemptId, SuspectId } from "@sassafrasstage/protocol/ids";
import type { CrashReport } from "@sassafrasstage/protocol/poison_parts";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { CountedCrash, Verdict } from "./judge_parts.js";
import type { ObservedCrash } from "./open_calls.js";
import type { PartBlock } from "./part_blocks.js";
import type { NewCrashReport } from "./part_evidence.js";

/** Why a block ended. */
export type ClearReason =
  /** A server has run a request with the part. */
  | "success"
  /** Another VM has ended the block. */
  | "withdrawn"
  /** No request has asked for the part. */
  | "unused";

/** From where this VM knows something. */
export type EvidenceSource =
  | { readonly kind: "own" }
  | { readonly kind: "peer"; readonly peer: string };

export interface PartDecisionLogOptions {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class PartDecisionLog {
  readonly #metrics: Metrics;
  readonly #logger: Logger;

  constructor({ metrics, logger }: PartDecisionLogOptions) {
    this.#metrics = metrics;
    this.#logger = logger;
  }

  crashed(observed: ObservedCrash, report: CrashReport): void {
    this.#metrics.countEvent("serverCrash.observed");
    this.#logger.info("serverCrashed", {
      request: observed.call.request,
      server: report.server,
      startedAt: report.startedAt,
      callAgeMs: Math.round(observed.ageOfCallMs),
      isProven: observed.isProven,
      unprovenCalls: observed.unprovenCalls.length,
      parts: report.parts.join(),
    });
  }

  accused(
    { report, atMs }: NewCrashReport,
    source: EvidenceSource,
    nowMs: number,
  ): void {
    this.#metrics.countEvent(`promptPartsAccused.${source.kind}`);
    this.#logger.info("promptPartsAccused", {
      server: report.server,
      startedAt: report.startedAt,
      ageMs: Math.round(nowMs - atMs),
      source: source.kind,
      peer: source.kind === "peer" ? source.peer : undefined,
      parts: report.parts.join(),
    });
  }

  /** @param verdict Undefined if another VM has decided */
  blocked(
    block: PartBlock,
    verdict: Verdict | undefined,
    nowMs: number,
  ): void {
    const source = verdict === undefined ? "store" : "own";
    const lastSuccessMs = verdict?.lastSuccessMs;
    this.#metrics.countEvent(`promptPart.blocked.${source}`);
    this.#logger.warn("promptPartBlocked", {
      part: block.part,
      source,
      crashes: block.crashes,
      failedProbes: block.failedProbes,
      lastCrashAgeMs: Math.round(block.lastCrashAgeMs),
      lastSuccessAgeMs: lastSuccessMs === undefined
        ? undefined
        : Math.round(nowMs - lastSuccessMs),
      servers: verdict === undefined
        ? undefined
        : describeCrashes(verdict.crashes, nowMs),
    });
  }

  cleared(part: SuspectId, reason: ClearReason): void {
    this.#metrics.countEvent(`promptPart.cleared.${reason}`);
    this.#logger.info("promptPartCleared", { part, reason });
  }

  probed(request: AttemptId, parts: readonly SuspectId[]): void {
    this.#metrics.countEvent("promptPart.probe");
    this.#logger.info("promptPartProbed", { request, parts: parts.join() });
  }

  refused(
    request: AttemptId,
    refusal: { readonly part: SuspectId; readonly retryAfterMs: number },
  ): void {
    this.#metrics.countEvent("promptPart.refused");
    this.#logger.info("requestRefusedForPart", { request, ...refusal });
  }
}

function describeCrashes(
  crashes: readonly CountedCrash[],
  nowMs: number,
): string {
  return crashes
    .map(({ server, atMs }) => `${server}:${Math.round(nowMs - atMs)}ms`)
    .join();
}
