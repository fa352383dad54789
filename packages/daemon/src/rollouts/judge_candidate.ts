/**
 * Canary analysis: compares the candidate of a rollout with the current version
 * that runs beside it.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { CallCounts } from "./rollout_observations.js";

export type CandidateVerdict = {
  kind: "undecided" | "sound" | "faulty";
  reason: string;
  /** Responses of the candidate that were compared. */
  samples: number;
  /** Failures and slow responses among them. */
  bad: number;
  /** Server to which the bad responses are attributed, not to the version. */
  badServer?: BackendServerId;
};

export interface JudgeOptions {
  /**
   * The part of the counts that was counted lately, which reveals faults that
   * started later; see `EvidenceWindow`.
   */
  readonly recent?: readonly CallCounts[];
}

/**
 * Compares the candidate with the current version.
 *
 * @example
 * ```ts
 * const verdict = judgeCandidate(totals, { recent });
 * ```
 */
export function judgeCandidate(
  counts: readonly CallCounts[],
  options: JudgeOptions = {},
): CandidateVerdict {
  let samples = 0;
  let bad = 0;
  const isBadLately = (options.recent ?? []).some(({ side, failed }) =>
    side === "candidate" && failed >= 3
  );
  if (isBadLately) {
    return { kind: "faulty", reason: "recent failures", samples, bad };
  }
  for (const { side, answered, failed } of counts) {
    if (side === "current") continue;
    samples += answered + failed;
    bad += failed;
  }
  if (bad >= 5) return { kind: "faulty", reason: "failures", samples, bad };
  if (samples >= 60 && bad === 0) {
    return { kind: "sound", reason: "no failures", samples, bad };
  }
  return { kind: "undecided", reason: "few samples", samples, bad };
}
