/**
 * Answers to operators: a JSON body, or a problem with what an operator needs
 * to go on.
 *
 * @module
 */

import type { ConfigurationFault } from "@sassafrasstage/protocol/configuration";
import type { ChangeId } from "@sassafrasstage/protocol/ids";
import {
  makeProblem,
  type Problem,
  type ProblemReason,
} from "@sassafrasstage/protocol/problems";
import {
  describeChange,
  type HistoryEntry,
} from "../configuration/configuration_head.js";
import type { SubmitResult } from "../configuration/submit_change.js";

const RETRY_AFTER_MS = 2000;

/** A refusal with members beyond those of every problem. */
export interface AdminProblem extends Problem {
  /** Every fault of a refused configuration. */
  readonly faults?: readonly ConfigurationFault[];
  /** The change that was accepted first. */
  readonly newer?: HistoryEntry;
  /** To submit the same change again with. */
  readonly changeId?: ChangeId;
}

export type AdminAnswer =
  | { readonly kind: "done"; readonly body: object }
  | { readonly kind: "refused"; readonly problem: AdminProblem };

/** A refusal after which nothing has changed. */
export function refuse(reason: ProblemReason, detail: string): AdminAnswer {
  return {
    kind: "refused",
    problem: makeProblem(reason, { detail, notRun: true }),
  };
}

/** The platform can't be asked now. */
export function refuseUnavailable(detail: string): AdminAnswer {
  const problem = makeProblem("platformUnavailable", {
    detail,
    notRun: true,
    retryAfterMs: RETRY_AFTER_MS,
  });
  return { kind: "refused", problem };
}

/** What an operator is told of a submitted change. */
export function answerSubmission(result: SubmitResult): AdminAnswer {
  switch (result.kind) {
    case "accepted": {
      const { generation, changeId } = result;
      return { kind: "done", body: { generation, changeId } };
    }
    case "invalid":
      return refuseInvalid(result.faults);
    case "notFound":
      return refuse("notFound", result.detail);
    case "conflict":
      return refuseConflict(result);
    case "unavailable":
      return refuseUnavailable(result.detail);
    case "outcomeUnknown":
      return refuseOutcomeUnknown(result.changeId);
  }
}

function refuseInvalid(faults: readonly ConfigurationFault[]): AdminAnswer {
  const [first] = faults;
  const problem = makeProblem("invalidConfiguration", {
    detail: `${faults.length} faults, the first at "${first?.path ?? ""}": ${
      first?.message ?? ""
    }`,
    notRun: true,
  });
  return { kind: "refused", problem: { ...problem, faults } };
}

function refuseConflict(
  result: Extract<SubmitResult, { kind: "conflict" }>,
): AdminAnswer {
  const newer = describeChange(result.newer);
  const problem = makeProblem("configurationConflict", {
    detail:
      `Generation ${newer.generation} by ${newer.author} was accepted first`,
    notRun: true,
  });
  return { kind: "refused", problem: { ...problem, newer } };
}

function refuseOutcomeUnknown(changeId: ChangeId): AdminAnswer {
  const problem = makeProblem("outcomeUnknown", {
    detail:
      "The platform's answer was lost: submit again with the same change id",
    notRun: false,
    retryAfterMs: RETRY_AFTER_MS,
  });
  return { kind: "refused", problem: { ...problem, changeId } };
}
