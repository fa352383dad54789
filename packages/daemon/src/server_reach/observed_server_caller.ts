/**
 * Calls servers directly, and records which of them this VM reaches.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type {
  RunningServerCall,
  ServerCall,
  ServerCaller,
  ServerCallListener,
} from "../forwarding/server_caller.js";
import type { CallSilence } from "./call_silence.js";
import type { ServerReach } from "./server_reach.js";

export interface ObservedServerCallerOptions {
  readonly caller: ServerCaller;
  readonly reach: ServerReach;
  readonly silence: CallSilence;
  readonly clock: Clock;
  /** Called for a call whose connection ended before its response did. */
  readonly onBroken: (call: ServerCall) => void;
}

export class ObservedServerCaller implements ServerCaller {
  readonly #options: ObservedServerCallerOptions;

  constructor(options: ObservedServerCallerOptions) {
    this.#options = options;
  }

  start(call: ServerCall, listener: ServerCallListener): RunningServerCall {
    const { caller, reach, silence, clock, onBroken } = this.#options;
    const { server } = call;
    const open = silence.recordStart(server, clock.nowMs());
    const running = caller.start(call, {
      onSend: listener.onSend,
      onHead: (head) => {
        open.recordData(clock.nowMs());
        reach.recordResponse(server);
        listener.onHead(head);
      },
      onBody: (chunk) => {
        open.recordData(clock.nowMs());
        listener.onBody(chunk);
      },
      onEnd: () => {
        open.end();
        listener.onEnd();
      },
      onFailure: (failure) => {
        open.end();
        if (failure.kind === "broken") onBroken(call);
        else if (failure.isConnectionFailure) {
          reach.recordFailedConnection(server, failure.detail);
        }
        listener.onFailure(failure);
      },
    });
    return {
      cancel: () => {
        open.end();
        running.cancel();
      },
      cancelIfNotSent: () => {
        const isCanceled = running.cancelIfNotSent();
        if (isCanceled) open.end();
        return isCanceled;
      },
    };
  }
}
