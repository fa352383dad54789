/**
 * Responses of the administration API: a JSON body, or a problem with the
 * details that an operator needs to proceed.
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

/** A problem with the extension members of the administration API. */
export interface AdminProblem extends Problem {
  /** All faults of a rejected configuration. */
  readonly faults?: readonly ConfigurationFault[];
  /** The conflicting change that was accepted before this one. */
  readonly newer?: HistoryEntry;
  /** The id with which to resubmit the same change. */
  readonly changeId?: ChangeId;
}

export type AdminResponse =
  | { readonly kind: "done"; readonly body: object }
  | { readonly kind: "refused"; readonly problem: AdminProblem };

/** Refuses a request that had no effect. */
export function refuse(reason: ProblemReason, detail: string): AdminResponse {
  return {
    kind: "refused",
    problem: makeProblem(reason, { detail, notRun: true }),
  };
}

/** Refuses a request because the platform is currently unavailable. */
export function refuseUnavailable(detail: string): AdminResponse {
  const problem = makeProblem("platformUnavailable", {
    detail,
    notRun: true,
    retryAfterMs: RETRY_AFTER_MS,
  });
  return { kind: "refused", problem };
}

/** Converts the result of a submitted change to a response. */
export function toSubmissionResponse(result: SubmitResult): AdminResponse {
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

function refuseInvalid(faults: readonly ConfigurationFault[]): AdminResponse {
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
): AdminResponse {
  const newer = describeChange(result.newer);
  const problem = makeProblem("configurationConflict", {
    detail:
      `Generation ${newer.generation} by ${newer.author} was accepted first`,
    notRun: true,
  });
  return { kind: "refused", problem: { ...problem, newer } };
}

function refuseOutcomeUnknown(changeId: ChangeId): AdminResponse {
  const problem = makeProblem("outcomeUnknown", {
    detail:
      "The platform's answer was lost: submit again with the same change id",
    notRun: false,
    retryAfterMs: RETRY_AFTER_MS,
  });
  return { kind: "refused", problem: { ...problem, changeId } };
}
