/**
 * What callers lose if work is refused or delayed now, for each millisecond of
 * the scarce resource that it needs.
 *
 * Load pattern: a burst exceeds the capacity, and requests differ in priority,
 * objective, size and work.
 *
 * @module
 */

/** Factor by which the weight of a request decreases per step of priority. */
export const PRIORITY_WEIGHT_RATIO = 3;
/** Weight independent of the size of a request, as the requirements specify. */
const MIN_SIZE_WEIGHT = 0.3;
/** Maximum weight of a request, relative to the mean of its kind. */
const MAX_SIZE_WEIGHT = 4;
/** Part of the worth that is left after the objective; observed: 1/6 to 1/3. */
export const LATE_WORTH_SHARE = 0.25;

/** Work that waits for a scarce resource. */
export interface DeferrableWork {
  /** 0 is the highest. */
  readonly priority: number;
  /** Size relative to the mean of its kind. */
  readonly relativeSize: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Time from the start of the work to the response, without queueing. */
  readonly pathMs: number;
  /** Time of the resource that is still needed. */
  readonly workLeftMs: number;
  /** Factor from `FairShares`; 1 for work of those served often enough. */
  readonly precedence: number;
}

export interface DeferralCost {
  /** Worth that a refusal loses, per millisecond of the resource. */
  readonly refusal: number;
  /** Worth that waiting for another turn puts at risk, per millisecond. */
  readonly delay: number;
}

/** @param nowMs On the clock of the work's times */
export interface DeferralTime {
  readonly nowMs: number;
  /** Typical wait for the next turn at the resource. */
  readonly turnMs: number;
}

/** Worth of a request that is answered within its objective. */
export function fullWorth(
  work: Pick<DeferrableWork, "priority" | "relativeSize">,
): number {
  const size = MIN_SIZE_WEIGHT + (1 - MIN_SIZE_WEIGHT) * work.relativeSize;
  return PRIORITY_WEIGHT_RATIO ** -work.priority *
    Math.min(MAX_SIZE_WEIGHT, size);
}

/**
 * Returns the cost of refusing or delaying the work.
 *
 * @example
 * ```ts
 * const { refusal } = deferralCost(work, { nowMs, turnMs: 250 });
 * ```
 */
export function deferralCost(
  work: DeferrableWork,
  time: DeferralTime,
): DeferralCost {
  const endMs = time.nowMs + work.pathMs;
  const density = fullWorth(work) * work.precedence /
    Math.max(1, work.workLeftMs);
  const objectiveSlackMs = work.objectiveAtMs - endMs;
  const deadlineSlackMs = work.deadlineAtMs - endMs;
  const onTimeWorth = (1 - LATE_WORTH_SHARE) *
    chanceOf(objectiveSlackMs, time.turnMs);
  const lateWorth = LATE_WORTH_SHARE * chanceOf(deadlineSlackMs, time.turnMs);
  return {
    refusal: density * (onTimeWorth + lateWorth),
    delay: density * (
      onTimeWorth * riskOf(objectiveSlackMs, time.turnMs) +
      lateWorth * riskOf(deadlineSlackMs, time.turnMs)
    ),
  };
}

/** Comparison function that sorts the highest cost of a delay first. */
export function compareDeferral(a: DeferralCost, b: DeferralCost): number {
  return b.delay - a.delay || b.refusal - a.refusal;
}

/** Comparison function that sorts the highest cost of a refusal first. */
export function compareRefusal(a: DeferralCost, b: DeferralCost): number {
  return b.refusal - a.refusal || b.delay - a.delay;
}

/** Turns that work waits for on average while there is a backlog. */
const WAITED_TURNS = 4;
/**
 * Slack, in turns, from which on work that starts now ends in time for sure. The
 * path contains no waits between stages.
 */
const SAFE_TURNS = 0.25;

/** Chance that work with this slack ends in time if it starts now. */
function chanceOf(slackMs: number, turnMs: number): number {
  const safeMs = Math.max(1, SAFE_TURNS * turnMs);
  return Math.min(1, Math.max(0, slackMs / safeMs));
}

/** Likelihood that a delay of one turn uses up the slack. */
function riskOf(slackMs: number, turnMs: number): number {
  return Math.exp(-Math.max(0, slackMs) / Math.max(1, WAITED_TURNS * turnMs));
}
