/**
 * Calls backend servers by way of other VMs.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { ServerCallEventMessage } from "@sassafrasstage/protocol/peer_messages";
import type { RelayedCall } from "@sassafrasstage/protocol/server_calls";
import type {
  RunningServerCall,
  ServerCall,
  ServerCallFailure,
  ServerCallListener,
} from "../forwarding/server_caller.js";
import { kindOfStatus } from "../http/response_status.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { RelayPeers } from "./relay_peers.js";
import { MAX_RELAYED_BODY_BYTES, splitChunk } from "./relayed_call_limits.js";

export interface RelayedCallClientOptions {
  readonly network: PeerNetwork;
  readonly peers: RelayPeers;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A failure that says whether another VM may be able to make the call. */
export type RelayFailure = ServerCallFailure & {
  readonly isPeerFailure: boolean;
};

export type RelayListener = Omit<ServerCallListener, "onFailure"> & {
  readonly onFailure: (failure: RelayFailure) => void;
};

interface OpenCall {
  readonly peer: VmId;
  readonly listener: RelayListener;
}

const PEER_NOT_CONNECTED: RelayFailure = {
  kind: "notSent",
  detail: "peerNotConnected",
  isConnectionFailure: false,
  isPeerFailure: true,
};

export class RelayedCallClient {
  readonly #options: RelayedCallClientOptions;
  readonly #calls = new Map<number, OpenCall>();
  #lastCallNumber = 0;

  constructor(options: RelayedCallClientOptions) {
    this.#options = options;
    const { network, metrics } = options;
    network.messages.on("serverCallEvent", ({ from, message }) => {
      this.#handleEvent(from.vmId, message);
    });
    // A call that waits for a connection is sent once there is one.
    network.lifecycle.on("disconnected", ({ vmId }) => {
      this.#failCallsOf(vmId);
    });
    metrics.registerGauge("callsThroughPeers", () => this.#calls.size);
  }

  /** Whether the peers take a request with such a body. */
  accepts(call: ServerCall): boolean {
    return call.request.body.length <= MAX_RELAYED_BODY_BYTES;
  }

  start(
    peer: VmId,
    call: ServerCall,
    listener: RelayListener,
  ): RunningServerCall {
    const { network, metrics, logger, peers } = this.#options;
    this.#lastCallNumber += 1;
    const callNumber = this.#lastCallNumber;
    metrics.countEvent("callThroughPeer");
    logger.info("callHandedOver", {
      request: call.request.attemptId,
      server: call.server.id,
      peer,
      callNumber,
    });
    this.#calls.set(callNumber, { peer, listener });
    peers.recordStart(peer);
    const failAsNotSent = (): void => {
      this.#fail(callNumber, PEER_NOT_CONNECTED);
    };
    const isSent = network.send(
      peer,
      { type: "serverCall", callNumber, call: toRelayedCall(call) },
      failAsNotSent,
    );
    if (!isSent) failAsNotSent();
    for (const data of isSent ? splitChunk(call.request.body) : []) {
      network.send(peer, { type: "serverCallBody", callNumber, data });
    }
    return {
      cancel: () => {
        if (this.#remove(callNumber) === undefined) return;
        network.send(peer, { type: "serverCallCancel", callNumber });
      },
      // The peer may have sent it by now.
      cancelIfNotSent: () => !this.#calls.has(callNumber),
    };
  }

  #handleEvent(from: VmId, message: ServerCallEventMessage): void {
    const { callNumber, event } = message;
    const open = this.#calls.get(callNumber);
    if (open?.peer !== from) return;
    const { listener } = open;
    switch (event.kind) {
      case "sent":
        listener.onSend();
        return;
      case "head":
        if (kindOfStatus(event.head.status) === "final") {
          listener.onHead(event.head);
        } else this.#refuseHead(from, callNumber);
        return;
      case "data":
        this.#acknowledge(from, callNumber, event.data.length);
        listener.onBody(Buffer.from(event.data));
        return;
      case "ended":
        this.#remove(callNumber);
        listener.onEnd();
        return;
      case "notSent":
        this.#fail(callNumber, event);
        return;
      case "broken":
        this.#fail(callNumber, { ...event, isPeerFailure: false });
    }
  }

  /** A peer of an older build passes on responses with any status. */
  #refuseHead(peer: VmId, callNumber: number): void {
    this.#options.network.send(peer, { type: "serverCallCancel", callNumber });
    this.#fail(callNumber, {
      kind: "broken",
      detail: "invalidStatus",
      remainingConnections: "notChecked",
      isPeerFailure: false,
    });
  }

  #acknowledge(peer: VmId, callNumber: number, bytes: number): void {
    this.#options.network.send(peer, {
      type: "serverCallCredit",
      callNumber,
      bytes,
    });
  }

  #failCallsOf(vmId: VmId): void {
    for (const [callNumber, { peer }] of [...this.#calls]) {
      if (peer !== vmId) continue;
      this.#fail(callNumber, {
        kind: "broken",
        detail: "peerDisconnected",
        remainingConnections: "notChecked",
        isPeerFailure: true,
      });
    }
  }

  #fail(callNumber: number, failure: RelayFailure): void {
    const open = this.#remove(callNumber);
    if (open === undefined) return;
    this.#options.metrics.countEvent(`callThroughPeerFailed.${failure.kind}`);
    if (failure.isPeerFailure) this.#options.peers.recordRefusal(open.peer);
    open.listener.onFailure(failure);
  }

  #remove(callNumber: number): OpenCall | undefined {
    const open = this.#calls.get(callNumber);
    if (open === undefined) return undefined;
    this.#calls.delete(callNumber);
    this.#options.peers.recordEnd(open.peer);
    return open;
  }
}

function toRelayedCall(call: ServerCall): RelayedCall {
  const { server, request } = call;
  return {
    backendServerId: server.id,
    startedAt: server.startedAt,
    attemptId: request.attemptId,
    host: request.host,
    method: request.method,
    path: request.path,
    headers: request.headers,
    bodyBytes: request.body.length,
    remainingMs: call.remainingMs,
    clientAccountId: call.account,
    inputs: call.inputs,
    resumeAfter: call.resumeAfter,
    ...(call.hasRolloutPermit === true && { hasRolloutPermit: true }),
  };
}
