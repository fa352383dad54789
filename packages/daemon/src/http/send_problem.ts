/**
 * Sends error responses as `application/problem+json`.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Problem } from "@sassafrasstage/protocol/problems";

const MS_PER_SECOND = 1000;
export const PROBLEM_CONTENT_TYPE = "application/problem+json";

/**
 * @example
 * ```ts
 * sendProblem(response, makeProblem("notReady", { detail: "…", notRun: true }));
 * ```
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.destroyed || response.headersSent) return;
  response.statusCode = problem.status;
  response.setHeader("content-type", PROBLEM_CONTENT_TYPE);
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
    response.setHeader("retry-after", String(seconds));
  }
  response.end(JSON.stringify(problem));
}
