/**
 * What becomes of a call to a server.
 *
 * @module
 */

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
