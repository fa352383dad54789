/**
 * Tells the canary analysis of rollouts what becomes of a call.
 *
 * @module
 */

import { NO_ROLLOUTS } from "../rollouts/rollout_gate.js";
import type { AttemptInput } from "./attempt_input.js";
import { refusePoisonPart } from "./refuse_poison_part.js";
import type { ResponseHead, ServerCallFailure } from "./server_caller.js";

/** Takes the events of one call. */
export interface SampledCall {
  recordSend(): void;
  recordHead(head: ResponseHead): void;
  /** An event of a stream is complete. */
  recordEvent(): void;
  /** The response is complete. */
  recordEnd(): void;
  /** A response that has ended without an error isn't complete. */
  recordCutOff(): void;
  recordFailure(
    failure: ServerCallFailure,
    options: { readonly isCrash: boolean },
  ): void;
  recordCancel(): void;
}

/**
 * A call that was given up after this part of the objective was probably given up
 * because it was slow, so that the time it took so far counts.
 */
const SLOW_OBJECTIVE_FRACTION = 0.5;

export function sampleCall(input: AttemptInput): SampledCall {
  const { environment, route, lifetime } = input.context;
  const { server } = input.candidate;
  const { rollouts = NO_ROLLOUTS, clock } = environment;
  const call = rollouts.beginCall(server, route.name);
  const startedAtMs = clock.nowMs();
  const isCold = startedAtMs < server.coldUntilMs;
  let hasHead = false;
  let isNotRun = false;
  let isFailure = false;
  let isSent = false;

  function elapsedMs(): number {
    return clock.nowMs() - startedAtMs;
  }
  return {
    recordSend: () => {
      isSent = true;
      call.recordSend();
    },
    recordHead: (head) => {
      hasHead = true;
      isNotRun = head.isNotRun;
      isFailure = !head.isNotRun && (!head.isGenuine || head.status >= 500);
    },
    recordEvent: () => {
      call.recordEvent();
    },
    recordEnd: () => {
      if (isNotRun) call.end("notCounted");
      else if (isFailure) call.end("failed");
      else call.end("answered", elapsedMs());
    },
    recordCutOff: () => {
      isFailure = true;
    },
    recordFailure: (failure, { isCrash }) => {
      if (isNotRun || failure.kind === "notSent") {
        call.end("notCounted");
        return;
      }
      // A request that crashes servers of any version says nothing about one.
      const isPoison = isCrash &&
        refusePoisonPart(input.context) !== undefined;
      // A cold server that is too slow for the deadline returned nothing itself.
      const isColdAndSilent = isCold && !hasHead;
      call.end(isPoison || isColdAndSilent ? "notCounted" : "failed");
    },
    recordCancel: () => {
      if (!isSent || isNotRun) {
        call.end("notCounted");
        return;
      }
      const ms = elapsedMs();
      if (lifetime.end === "timeUp") {
        call.end(isCold ? "notCounted" : "failed");
      } else if (ms >= route.objectiveMs * SLOW_OBJECTIVE_FRACTION) {
        call.end(isFailure ? "failed" : "answered", ms);
      } else call.end(isFailure ? "failed" : "notCounted");
    },
  };
}
