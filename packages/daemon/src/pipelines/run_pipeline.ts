/**
 * Starts a pipeline request and returns its result by its deadline.
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
import { runWithClaim } from "./run_with_claim.js";

/** The result for the caller, and the completion of all work. */
export interface RunningPipeline {
  readonly result: Promise<PipelineResult>;
  /** Settles after `result` if a non-idempotent call runs past the deadline. */
  readonly finished: Promise<void>;
}

/**
 * Starts a request. The caller gets its final result no later than the deadline.
 * A non-idempotent call that is still in flight then runs to completion, and its
 * outcome is recorded under the request's idempotency key.
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
