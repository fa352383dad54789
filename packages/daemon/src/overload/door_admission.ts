/**
 * Decides when this VM takes on a request that it has read, or refuses it as not
 * run before any work is spent.
 *
 * Load pattern: the processor of a small VM falls behind. With all requests
 * taken on as they are read, each of them is late, and many are worked on and
 * then discarded at their deadline.
 *
 * Waiting costs no processor time, but each refusal does, and its client comes
 * back. So requests wait, those that callers lose most by first, and are refused
 * only if they can't be carried in time.
 *
 * @module
 */

import { type DeferralCost, deferralCost } from "./deferral_cost.js";
import { FairShares, type ShareGroups } from "./fair_shares.js";
import { ReturnSpread } from "./return_spread.js";
import type { VmLag } from "./vm_lag.js";

/**
 * With a shorter lag, requests that come one by one don't wait; with a shorter
 * wait, none is refused.
 */
const MIN_LAG_MS = 40;
/** Processor time that is assumed for a request of an unknown route. */
const UNKNOWN_COST_MS = 5;
const CHECK_INTERVAL_MS = 100;
/** Bounds the work of one turn; more are refused at once. */
const MAX_WAITING = 500;
/**
 * Part of the processor time of a turn that is given to admissions. With one
 * admission in each turn, reading takes all of it at six times the load; with
 * more than half, the responses are late at 2.5 times.
 */
const ADMISSION_SHARE = 0.25;
/** Period over which the rate of admissions is measured. */
const RATE_PERIOD_MS = 1000;
/** Weight of the newest period. */
const RATE_SMOOTHING = 0.5;
const MIN_RETRY_AFTER_MS = 250;
/** Clients wait as instructed up to this fraction of the time they have left. */
const MAX_WAIT_FRACTION = 0.3;

export interface DoorRequest {
  readonly id: string;
  readonly groups: ShareGroups;
  /** Whether its client was refused before. */
  readonly isReturn: boolean;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Expected time from the admission to the first byte of the response. */
  readonly serviceMs: number;
  /** Processor time; undefined if it isn't known yet. */
  readonly costMs: number | undefined;
}

/** What a refusal rests on, for the log. */
export interface DoorInputs {
  readonly lagMs: number;
  readonly useShare: number;
  readonly waiting: number;
  readonly waitMs: number;
  readonly remainingMs: number;
  readonly costMs: number;
}

export interface DoorRefusal {
  readonly kind: "refused";
  readonly retryAfterMs: number;
  readonly inputs: DoorInputs;
}

export type DoorDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "waiting" }
  | DoorRefusal;

/** A decision about a request that was waiting. */
export interface LaterDecision {
  readonly request: DoorRequest;
  readonly decision: { readonly kind: "admitted" } | DoorRefusal;
}

/** One per process. */
export class DoorAdmission {
  readonly #lag: VmLag;
  readonly #shares = new FairShares();
  readonly #returns = new ReturnSpread();
  readonly #waiting = new Map<string, DoorRequest>();
  /** The latest request that was admitted is being processed until then. */
  #busyUntilMs = -Infinity;
  #checkedAtMs = -Infinity;
  /** End of the latest turn while requests wait. */
  #decidedAtMs = 0;
  /** Processor time of the requests admitted per millisecond while others wait. */
  #admittedPerMs: number;
  #periodStartedAtMs = -Infinity;
  #admittedInPeriodMs = 0;

  constructor(lag: VmLag) {
    this.#lag = lag;
    this.#admittedPerMs = lag.capacity;
  }

  get waitingCount(): number {
    return this.#waiting.size;
  }

  /**
   * Admits the request if the event loop keeps up and nothing else waits;
   * otherwise it waits for a decision of `decide`.
   *
   * @example
   * ```ts
   * if (door.offer(request, nowMs).kind === "waiting") decideSoon();
   * ```
   */
  offer(request: DoorRequest, nowMs: number): DoorDecision {
    const lagMs = this.#lag.lagMs(nowMs);
    const isIdle = this.#waiting.size === 0 && nowMs >= this.#busyUntilMs;
    if (lagMs < MIN_LAG_MS && isIdle) {
      this.#admit(request, nowMs);
      return { kind: "admitted" };
    }
    if (this.#waiting.size >= MAX_WAITING) {
      return this.#refuse(request, this.#queueMs(), nowMs);
    }
    if (this.#waiting.size === 0) this.#decidedAtMs = nowMs;
    // It was read late by about as much.
    this.#waiting.set(request.id, {
      ...request,
      objectiveAtMs: request.objectiveAtMs - lagMs,
      deadlineAtMs: request.deadlineAtMs - lagMs,
    });
    return { kind: "waiting" };
  }

  /** Removes a request whose client is gone. */
  remove(id: string): void {
    this.#waiting.delete(id);
  }

  /**
   * To be called once in each turn of the event loop while requests wait. Admits
   * at least one of them, and leaves time to read responses in between. An event
   * loop that keeps up has short turns.
   */
  decide(nowMs: number): LaterDecision[] {
    const decisions = this.#refuseInfeasible(nowMs);
    const turnMs = nowMs - this.#decidedAtMs;
    this.#decidedAtMs = nowMs;
    let budgetMs = turnMs * this.#lag.capacity * ADMISSION_SHARE;
    do {
      const request = this.#takeNext(nowMs);
      if (request === undefined) break;
      this.#admit(request, nowMs);
      this.#measureRate(costOf(request), nowMs);
      budgetMs -= costOf(request);
      decisions.push({ request, decision: { kind: "admitted" } });
    } while (budgetMs > 0);
    return decisions;
  }

  #takeNext(nowMs: number): DoorRequest | undefined {
    let chosen: DoorRequest | undefined;
    let highest = -1;
    for (const request of this.#waiting.values()) {
      const { delay } = this.#costOf(request, nowMs);
      if (delay <= highest) continue;
      highest = delay;
      chosen = request;
    }
    if (chosen === undefined) return undefined;
    this.#waiting.delete(chosen.id);
    return chosen;
  }

  #admit(request: DoorRequest, nowMs: number): void {
    this.#record(request, true, nowMs);
    this.#busyUntilMs = nowMs + this.#lag.processingMs(costOf(request));
  }

  #refuseInfeasible(nowMs: number): LaterDecision[] {
    if (nowMs < this.#checkedAtMs + CHECK_INTERVAL_MS) return [];
    this.#checkedAtMs = nowMs;
    const ranked = [...this.#waiting.values()]
      .map((request) => ({ request, cost: this.#costOf(request, nowMs) }))
      .sort((a, b) => b.cost.refusal - a.cost.refusal);
    const decisions: LaterDecision[] = [];
    let queuedMs = 0;
    for (const { request } of ranked) {
      const waitMs = queuedMs / this.#admittedPerMs;
      const endMs = nowMs + waitMs + request.serviceMs;
      // Without a queue, no other VM would be faster, and estimates may be wrong.
      if (waitMs < MIN_LAG_MS || endMs <= request.deadlineAtMs) {
        queuedMs += costOf(request);
        continue;
      }
      this.#waiting.delete(request.id);
      decisions.push({
        request,
        decision: this.#refuse(request, waitMs, nowMs),
      });
    }
    return decisions;
  }

  #refuse(request: DoorRequest, waitMs: number, nowMs: number): DoorRefusal {
    this.#record(request, false, nowMs);
    const remainingMs = request.deadlineAtMs - nowMs;
    const latestMs = Math.max(0, remainingMs * MAX_WAIT_FRACTION);
    const earliestMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const retryAfterMs = this.#returns.book({
      nowMs,
      earliestMs: Math.min(latestMs, earliestMs),
      latestMs,
      workMs: costOf(request),
      capacity: this.#admittedPerMs,
    });
    return {
      kind: "refused",
      retryAfterMs,
      inputs: {
        lagMs: this.#lag.lagMs(nowMs),
        useShare: this.#lag.useShare,
        waiting: this.#waiting.size,
        waitMs,
        remainingMs,
        costMs: costOf(request),
      },
    };
  }

  #costOf(request: DoorRequest, nowMs: number): DeferralCost {
    const { id, groups, serviceMs, deadlineAtMs } = request;
    return deferralCost({
      ...groups,
      objectiveAtMs: request.objectiveAtMs,
      deadlineAtMs,
      pathMs: serviceMs,
      workLeftMs: costOf(request),
      precedence: this.#shares.precedence(id, groups, {
        canEnd: nowMs + 2 * serviceMs <= deadlineAtMs,
        nowMs,
      }),
    }, { nowMs, turnMs: CHECK_INTERVAL_MS });
  }

  #record(request: DoorRequest, wasServed: boolean, nowMs: number): void {
    this.#shares.record(request.id, request.groups, {
      wasServed,
      isReturn: request.isReturn,
      nowMs,
    });
  }

  #queueMs(): number {
    let queuedMs = 0;
    for (const request of this.#waiting.values()) queuedMs += costOf(request);
    return queuedMs / this.#admittedPerMs;
  }

  /** The rate includes what reading, refusing and all other work takes. */
  #measureRate(costMs: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartedAtMs;
    if (elapsedMs > 2 * RATE_PERIOD_MS || this.#waiting.size === 0) {
      this.#periodStartedAtMs = nowMs;
      this.#admittedInPeriodMs = 0;
      return;
    }
    this.#admittedInPeriodMs += costMs;
    if (elapsedMs < RATE_PERIOD_MS) return;
    const rate = this.#admittedInPeriodMs / elapsedMs;
    this.#admittedPerMs = Math.max(
      this.#lag.capacity / 100,
      this.#admittedPerMs + (rate - this.#admittedPerMs) * RATE_SMOOTHING,
    );
    this.#periodStartedAtMs = nowMs;
    this.#admittedInPeriodMs = 0;
  }
}

function costOf({ costMs }: DoorRequest): number {
  return Math.max(1, costMs ?? UNKNOWN_COST_MS);
}
