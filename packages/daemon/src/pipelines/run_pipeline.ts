/**
 * Starts a request and answers it at its deadline at the latest.
 *
 * @module
 */

import type { PipelineEnvironment } from "./pipeline_environment.js";
import type {
  PipelineRequest,
  PipelineResult,
  Refusal,
} from "./pipeline_request.js";
import { refuseAborted } from "./refuse.js";
import { RequestLifetime } from "./request_lifetime.js";
import { runWithClaim } from "./run_claimed.js";

/** The result for the caller, and the end of all work for the request. */
export interface RunningPipeline {
  readonly result: Promise<PipelineResult>;
  /** Later than the result where a non-idempotent call outlives the deadline. */
  readonly finished: Promise<void>;
}

/**
 * Starts a request. The caller gets its final result at the deadline at the
 * latest; a non-idempotent call in flight then still runs to its end, and its
 * outcome is recorded under the request's key.
 *
 * @example
 * ```ts
 * const running = startPipeline(environment, request);
 * const result = await running.result;
 * ```
 */
export function startPipeline(
  environment: PipelineEnvironment,
  request: PipelineRequest,
): RunningPipeline {
  const lifetime = new RequestLifetime({
    remainingMs: request.deadlineAtMs - environment.clock.nowMs(),
    callerSignal: request.callerSignal,
  });
  const work = runWithClaim(environment, request, lifetime);
  const finished = work.then(() => undefined).finally(() => {
    lifetime.end();
  });
  const result = Promise.race([work, refuseOnAbort(lifetime)]);
  return { result, finished };
}

function refuseOnAbort(lifetime: RequestLifetime): Promise<Refusal> {
  return new Promise((resolve) => {
    lifetime.abortSignal.addEventListener("abort", () => {
      resolve(refuseAborted(lifetime));
    }, { once: true });
  });
}
