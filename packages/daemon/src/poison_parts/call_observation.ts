/**
 * What becomes of a call to a server.
 *
 * @module
 */

import type { AttemptId, SuspectId } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";

/** A call that is about to be sent to a server. */
export interface ObservedCall {
  readonly request: AttemptId;
  readonly server: RegisteredServer;
  /** See `suspectableParts`. */
  readonly parts: readonly SuspectId[];
}

/**
 * Takes what is seen of one call. One of the last three methods ends it; further
 * calls of any method have no effect.
 */
export interface CallObservation {
  /** The response has delivered an event. */
  recordEvent(): void;
  /** The server has run the request and its response is complete. */
  recordComplete(): void;
  /** The server's process has ended under the call. */
  recordCrash(): void;
  /** The call ended in a way that says nothing about its parts. */
  end(): void;
}

/** Of calls without parts that can be judged. */
export const NO_OBSERVATION: CallObservation = {
  recordEvent: () => undefined,
  recordComplete: () => undefined,
  recordCrash: () => undefined,
  end: () => undefined,
};
