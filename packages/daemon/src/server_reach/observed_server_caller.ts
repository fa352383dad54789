/**
 * Records from the calls of requests which servers this VM reaches.
 *
 * @module
 */

import type {
  RunningServerCall,
  ServerCall,
  ServerCaller,
  ServerCallListener,
} from "../forwarding/server_caller.js";
import type { ServerReach } from "./server_reach.js";

export class ObservedServerCaller implements ServerCaller {
  readonly #caller: ServerCaller;
  readonly #reach: ServerReach;

  constructor(caller: ServerCaller, reach: ServerReach) {
    this.#caller = caller;
    this.#reach = reach;
  }

  start(call: ServerCall, listener: ServerCallListener): RunningServerCall {
    const { server } = call;
    return this.#caller.start(call, {
      ...listener,
      onHead: (head) => {
        this.#reach.recordReached(server);
        listener.onHead(head);
      },
      onFailure: (failure) => {
        if (failure.kind === "notSent" && failure.isConnectionFailure) {
          this.#reach.recordFailedConnection(server, failure.detail);
        }
        listener.onFailure(failure);
      },
    });
  }
}
