/**
 * Tells the judging of prompt parts what becomes of a call to a server.
 *
 * @module
 */

import type { CallObservation } from "../poison_parts/call_observation.js";
import { suspectableParts } from "../poison_parts/suspectable_parts.js";
import type { AttemptInput } from "./run_attempt.js";
import type { ResponseHead, ServerCallFailure } from "./server_caller.js";

/** Takes the events of one call; does nothing for a prompt without parts. */
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
  const parts = suspectableParts(request.prompt);
  let observation: CallObservation | undefined;
  let hasRun = false;
  let isNotRun = false;
  return {
    recordSend: () => {
      if (parts.length === 0) return;
      observation ??= environment.poisonParts.observe({
        request: request.attemptId,
        server,
        parts,
      });
    },
    recordHead: (head) => {
      isNotRun = head.isNotRun;
      hasRun = head.isGenuine && !head.isNotRun && head.status === 200;
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
