/**
 * Tells the judging of prompt parts and whole requests what becomes of a call.
 *
 * @module
 */

import type { CallObservation } from "../poison_parts/call_observation.js";
import type { AttemptInput } from "./attempt_input.js";
import type { ResponseHead, ServerCallFailure } from "./server_caller.js";
import { suspectsOf } from "./suspects_of.js";

/** Takes the events of one call. */
export interface ObservedAttempt {
  recordSend(): void;
  recordHead(head: ResponseHead): void;
  recordEvent(): void;
  /** The response is complete. */
  recordEnd(): void;
  /** Returns whether the server has crashed. */
  recordFailure(failure: ServerCallFailure): boolean;
  recordCancel(): void;
}

export function observeCall(input: AttemptInput): ObservedAttempt {
  const { environment, request } = input.context;
  const { server } = input.candidate;
  let observation: CallObservation | undefined;
  let hasRun = false;
  let isNotRun = false;
  return {
    recordSend: () => {
      observation ??= environment.poisonParts.observe({
        request: request.attemptId,
        server,
        parts: suspectsOf(input.context),
      });
    },
    recordHead: (head) => {
      isNotRun = head.isNotRun;
      // A server that rejects a prompt hasn't read it.
      const isRunStatus = request.prompt === undefined || head.status === 200;
      hasRun = head.isGenuine && !head.isNotRun && isRunStatus;
    },
    recordEvent: () => {
      observation?.recordEvent();
    },
    recordEnd: () => {
      if (hasRun) observation?.recordComplete();
      else observation?.end();
    },
    recordFailure: (failure) => {
      const isCrash = !isNotRun && failure.kind === "broken" &&
        failure.remainingConnections === "none" &&
        environment.directory.isStaying(server);
      if (isCrash) observation?.recordCrash();
      else observation?.end();
      return isCrash;
    },
    recordCancel: () => {
      observation?.end();
    },
  };
}
