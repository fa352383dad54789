/**
 * The requests that a test sent, with their results.
 *
 * @module
 */

import type { PipelineResult } from "@sassafrasstage/stand-ins/cluster/caller";
import type { SamplePipeline } from "./sample_plan.js";

export interface LoggedRequest {
  readonly marker: string;
  readonly pipeline: SamplePipeline;
  readonly input: string;
  readonly vmId: string;
  readonly idempotencyKey?: string;
  /** Wall-clock time in milliseconds. */
  readonly sentAtMs: number;
  readonly result: PipelineResult;
}

/** A request that received a complete answer. */
export type AnsweredRequest = LoggedRequest & {
  readonly result: Extract<PipelineResult, { kind: "answer" }>;
};

export function isAnswered(
  request: LoggedRequest,
): request is AnsweredRequest {
  return request.result.kind === "answer";
}

/** Formats the number of requests by outcome, for messages. */
export function summarize(requests: readonly LoggedRequest[]): string {
  const counts = new Map<string, number>();
  for (const { result } of requests) {
    const name = result.kind === "problem"
      ? `problem:${result.problem.reason}`
      : result.kind;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${name}=${count}`).join(" ");
}
