/**
 * What one call to a backend server is made with.
 *
 * @module
 */

import type { ServerCandidate } from "../placement/choose_server.js";
import type { ForwardContext } from "./forward_context.js";

export interface AttemptInput {
  readonly context: ForwardContext;
  readonly candidate: ServerCandidate;
  readonly inputs: readonly string[] | undefined;
  readonly resumeAfter: string | undefined;
  /** Called before the listener's `onFailure` if the server has crashed. */
  readonly onServerCrash?: () => void;
}
