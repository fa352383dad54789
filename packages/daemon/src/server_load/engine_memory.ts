/**
 * Memory of one model engine as this VM knows it.
 *
 * Load pattern: engines that crash if the requests that they hold exceed their
 * memory, and that many VMs use without knowing each other's requests. What is
 * uncertain is counted as held: a crash loses all requests of the engine.
 *
 * @module
 */

import type { PromptPart, PromptShape } from "../forwarding/routed_request.js";

/** What an engine reports about itself, as of some hundred milliseconds ago. */
export interface EngineReport {
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly queuedRequests: number;
  readonly runningRequests: number;
}

/** Tokens that a request holds at an engine until it ends. */
export interface MemoryNeed {
  /** Parts of the prompt that the engine holds once for all requests. */
  readonly sharedParts: readonly PromptPart[];
  /** The rest of the prompt and the tokens that may be generated. */
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** What this VM expects of the requests of all other VMs at an engine. */
export interface OthersExpectation {
  /** Requests that they have there on average. */
  readonly requests: number;
  /** Requests that arrive from them, per millisecond. */
  readonly requestsPerMs: number;
  /** Tokens that a request holds beside shared parts, on average. */
  readonly tokensPerRequest: number;
  /** Root of the mean square of these tokens. */
  readonly tokensRms: number;
  /** Requests that they have there, as the engine has just stated. */
  readonly statedRequests: number;
}

/** A request at the engine. */
export interface MemoryPlacement {
  readonly need: MemoryNeed;
  readonly placedAtMs: number;
}

/** A report describes the engine at most this long ago. */
const REPORT_LAG_MS = 1000;
/** After this time a report says nothing about the requests of others. */
const REPORT_LIFETIME_MS = 5000;
/** Time until this VM learns of a request that another VM has placed. */
const UNSEEN_MS = 700;
/** Standard deviations of what others hold that are reserved. */
const RESERVED_DEVIATIONS = 2.5;
/** Least that stays free, as a fraction: token counts are estimates. */
const MIN_FREE_FRACTION = 0.08;
/** Time for which a shared part is taken to be held for other VMs' requests. */
const PART_LIFETIME_MS = 10_000;

export function memoryNeedOf(prompt: PromptShape): MemoryNeed {
  const sharedParts = prompt.parts.slice(0, -1);
  const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    sharedParts,
    ownTokens: Math.max(0, prompt.inputTokens - sharedTokens) +
      prompt.maxOutputTokens,
    outputTokens: prompt.maxOutputTokens,
  };
}

export class EngineMemory {
  readonly #placements = new Set<MemoryPlacement>();
  /** Shared parts that this VM's requests have brought, the oldest ones first. */
  readonly #parts = new Map<
    string,
    { readonly tokens: number; readonly atMs: number }
  >();
  #othersAtReport = 0;
  #reportedAtMs = -Infinity;

  /** Time since the last report. */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  place(need: MemoryNeed, nowMs: number): MemoryPlacement {
    const placement = { need, placedAtMs: nowMs };
    this.#placements.add(placement);
    for (const { id, tokens } of need.sharedParts) {
      this.#parts.delete(id);
      this.#parts.set(id, { tokens, atMs: nowMs });
    }
    return placement;
  }

  release(placement: MemoryPlacement): void {
    this.#placements.delete(placement);
  }

  recordReport(
    report: EngineReport,
    { nowMs, tokensPerRequest, outputTokens }: {
      readonly nowMs: number;
      readonly tokensPerRequest: number;
      /** Tokens that a request may generate, on average. */
      readonly outputTokens: number;
    },
  ): void {
    const own = [...this.#placements].filter(({ placedAtMs }) =>
      placedAtMs <= nowMs - REPORT_LAG_MS
    );
    // What the engine has generated for own requests isn't known here.
    const ownTokens = countTokens(own.map(({ need }) => ({
      ...need,
      ownTokens: need.ownTokens - need.outputTokens,
    })));
    const othersRequests = Math.max(
      0,
      report.runningRequests + report.queuedRequests - own.length,
    );
    const queued = Math.min(othersRequests, report.queuedRequests);
    const running = othersRequests - queued;
    this.#othersAtReport = Math.max(0, report.usedTokens - ownTokens) +
      queued * tokensPerRequest + running * outputTokens;
    this.#reportedAtMs = nowMs;
  }

  /**
   * Tokens that are left with a request, counting what others hold and may have
   * placed unseen; negative if the request may not fit.
   */
  freeTokens(
    request: {
      readonly need: MemoryNeed | undefined;
      readonly totalTokens: number;
      readonly others: OthersExpectation;
    },
    nowMs: number,
  ): number {
    const { need, totalTokens, others } = request;
    const needs = [...this.#placements].map((placement) => placement.need);
    if (need !== undefined) needs.push(need);
    const ageMs = this.reportAgeMs(nowMs);
    const weight = Math.max(0, 1 - ageMs / REPORT_LIFETIME_MS);
    const unseen = weight === 0
      ? 0
      : others.requestsPerMs * (UNSEEN_MS + ageMs);
    const reported = weight === 0
      ? 0
      : this.#othersAtReport + unseen * others.tokensPerRequest;
    const expected = others.requests * others.tokensPerRequest +
      this.#recentPartTokens(needs, nowMs);
    const held = Math.max(
      weight * reported + (1 - weight) * expected,
      others.statedRequests * others.tokensPerRequest,
    );
    const uncertain = weight * unseen + (1 - weight) * others.requests;
    const reserve = RESERVED_DEVIATIONS * Math.sqrt(uncertain) *
      others.tokensRms;
    return totalTokens * (1 - MIN_FREE_FRACTION) - countTokens(needs) - held -
      reserve;
  }

  /** Tokens of recent shared parts that are in none of these requests. */
  #recentPartTokens(needs: readonly MemoryNeed[], nowMs: number): number {
    const counted = new Set(
      needs.flatMap(({ sharedParts }) => sharedParts.map(({ id }) => id)),
    );
    let total = 0;
    for (const [id, { tokens, atMs }] of this.#parts) {
      if (nowMs - atMs > PART_LIFETIME_MS) this.#parts.delete(id);
      else if (!counted.has(id)) total += tokens;
    }
    return total;
  }
}

function countTokens(needs: readonly MemoryNeed[]): number {
  const shared = new Map<string, number>();
  let total = 0;
  for (const { sharedParts, ownTokens } of needs) {
    total += ownTokens;
    for (const { id, tokens } of sharedParts) {
      shared.set(id, Math.max(tokens, shared.get(id) ?? 0));
    }
  }
  for (const tokens of shared.values()) total += tokens;
  return total;
}
