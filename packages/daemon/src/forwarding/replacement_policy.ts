/**
 * Decides when a stream whose server is silent is also sent to another server.
 *
 * @module
 */

/** Longer than the silence that sound servers have. */
export const SILENCE_LIMIT_MS = 1500;
/** Maximum number of not-run attempts that are followed by another one. */
export const MAX_REFUSALS = 3;

export interface StreamCondition {
  /** When any of the stream's calls last received data, or was started. */
  readonly lastReceivedAtMs: number;
  readonly isResumable: boolean;
  /** Number of calls that may have run. */
  readonly runs: number;
  readonly maxAttempts: number;
  readonly refusals: number;
  /** Whether a server could take the stream at once. */
  readonly hasServer: () => boolean;
  readonly hasRetry: () => boolean;
}

export type ReplacementDecision =
  | "start"
  /** Data was received within the limit. */
  | "notSilent"
  | "notResumable"
  | "attemptsSpent"
  | "tooManyRefusals"
  | "noServer"
  | "retryBudget";

/**
 * @example
 * ```ts
 * if (decideReplacement(condition, nowMs) === "start") startReplacement();
 * ```
 */
export function decideReplacement(
  condition: StreamCondition,
  nowMs: number,
): ReplacementDecision {
  if (nowMs - condition.lastReceivedAtMs < SILENCE_LIMIT_MS) return "notSilent";
  if (!condition.isResumable) return "notResumable";
  if (condition.runs >= condition.maxAttempts) return "attemptsSpent";
  if (condition.refusals > MAX_REFUSALS) return "tooManyRefusals";
  if (!condition.hasServer()) return "noServer";
  return condition.hasRetry() ? "start" : "retryBudget";
}
