/**
 * Passes requests on to backend servers; the adapter of the backend servers
 * provides it.
 *
 * @module
 */

import type { ClientAccountId } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import type { HeaderList, RoutedRequest } from "./routed_request.js";

export interface ServerCall {
  readonly server: RegisteredServer;
  readonly request: RoutedRequest;
  /** Connections that this VM may have to the server. */
  readonly connectionShare: number;
  /** How long the server may work on it. */
  readonly remainingMs: number;
  readonly account: ClientAccountId | undefined;
  /** References of the results of the route's last stages. */
  readonly inputs: readonly string[] | undefined;
  /** Events up to this one are not wanted. */
  readonly resumeAfter: string | undefined;
}

export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
  /** The server says that it has not run the request. */
  readonly isNotRun: boolean;
  /** It did not run, as an input's maker has dropped it. */
  readonly isInputGone: boolean;
  /**
   * The body ends with the connection, so nobody can tell whether it was cut
   * off there.
   */
  readonly endsWithConnection: boolean;
  /** Carries the server's signature, and is of this request. */
  readonly isGenuine: boolean;
}

export type ServerCallFailure =
  /** Nothing of the request has left this VM. */
  | { readonly kind: "notSent"; readonly detail: string }
  /** It may have run. */
  | { readonly kind: "broken"; readonly detail: string };

export interface ServerCallListener {
  readonly onHead: (head: AnswerHead) => void;
  readonly onBody: (chunk: Buffer) => void;
  /** The whole answer has come. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ServerCallFailure) => void;
}

export interface RunningServerCall {
  /** Closes the connection; the listener hears nothing more. */
  cancel(): void;
}

export interface ServerCaller {
  start(call: ServerCall, listener: ServerCallListener): RunningServerCall;
}
