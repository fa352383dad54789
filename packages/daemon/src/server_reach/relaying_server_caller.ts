/**
 * Calls servers directly, or by way of a peer if this VM is cut off from them.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type {
  RunningServerCall,
  ServerCall,
  ServerCaller,
  ServerCallListener,
} from "../forwarding/server_caller.js";
import type { RelayedCallClient, RelayFailure } from "./relayed_call_client.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { RelayPeers } from "./relay_peers.js";
import type { ServerReach } from "./server_reach.js";

export interface RelayingServerCallerOptions {
  readonly direct: ServerCaller;
  readonly relay: RelayedCallClient;
  readonly peers: RelayPeers;
  readonly reach: ServerReach;
  readonly clock: Clock;
  /** Returns a number of at least 0 and less than 1. */
  readonly random: () => number;
  /** Called if a peer couldn't connect to the server either. */
  readonly onUnreachedByPeer: (server: RegisteredServer) => void;
}

/** Peers that a call is offered to. */
const MAX_PEERS_PER_CALL = 3;

export class RelayingServerCaller implements ServerCaller {
  readonly #options: RelayingServerCallerOptions;

  constructor(options: RelayingServerCallerOptions) {
    this.#options = options;
  }

  start(call: ServerCall, listener: ServerCallListener): RunningServerCall {
    const routed = new RoutedCall(call, listener, this.#options);
    routed.start();
    return routed;
  }
}

class RoutedCall implements RunningServerCall {
  readonly #call: ServerCall;
  readonly #listener: ServerCallListener;
  readonly #options: RelayingServerCallerOptions;
  readonly #startedAtMs: number;
  readonly #offeredTo: VmId[] = [];
  #beginCount = 0;
  #running: RunningServerCall | undefined;

  constructor(
    call: ServerCall,
    listener: ServerCallListener,
    options: RelayingServerCallerOptions,
  ) {
    this.#call = call;
    this.#listener = listener;
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  start(): void {
    const { reach, random } = this.#options;
    const { server } = this.#call;
    const mustRelay = reach.mustRelay(server.id, this.#startedAtMs, random());
    if (!mustRelay || !this.#relay()) this.#callDirectly();
  }

  cancel(): void {
    this.#running?.cancel();
  }

  cancelIfNotSent(): boolean {
    return this.#running?.cancelIfNotSent() ?? false;
  }

  #callDirectly(): void {
    const { direct, reach } = this.#options;
    this.#begin(() =>
      direct.start(this.#call, {
        ...this.#listener,
        onFailure: (failure) => {
          const isPathFailure = failure.kind === "notSent" &&
            failure.isConnectionFailure &&
            reach.isLikelyCutOff(this.#call.server);
          if (isPathFailure && this.#relay()) return;
          this.#listener.onFailure(failure);
        },
      })
    );
  }

  /** Returns false if no peer can be asked; the listener isn't called then. */
  #relay(): boolean {
    const { relay, peers, clock } = this.#options;
    if (this.#offeredTo.length >= MAX_PEERS_PER_CALL) return false;
    if (!relay.accepts(this.#call) || !this.#call.maySend()) return false;
    const peer = peers.choose(this.#call.server.service, this.#offeredTo);
    if (peer === undefined) return false;
    this.#offeredTo.push(peer);
    const elapsedMs = Math.ceil(clock.nowMs() - this.#startedAtMs);
    const remainingMs = Math.max(1, this.#call.remainingMs - elapsedMs);
    this.#begin(() =>
      relay.start(peer, { ...this.#call, remainingMs }, {
        ...this.#listener,
        onFailure: (failure) => {
          this.#handleRelayFailure(failure);
        },
      })
    );
    return true;
  }

  #handleRelayFailure(failure: RelayFailure): void {
    const mayOffer = failure.kind === "notSent" && failure.isPeerFailure;
    if (mayOffer && this.#relay()) return;
    if (failure.kind === "notSent" && failure.isConnectionFailure) {
      this.#options.onUnreachedByPeer(this.#call.server);
    }
    this.#listener.onFailure(failure);
  }

  /** A call that fails at once is replaced before its start returns. */
  #begin(start: () => RunningServerCall): void {
    this.#beginCount += 1;
    const number = this.#beginCount;
    const running = start();
    if (number === this.#beginCount) this.#running = running;
  }
}
