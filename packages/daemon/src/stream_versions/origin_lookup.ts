/**
 * Asks other VMs where a stream began.
 *
 * @module
 */

import type { AttemptId, VmId } from "@sassafrasstage/protocol/ids";
import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";
import type { PeerNetwork } from "../peers/peer_network.js";

/** The client waits for the answer, and may try another VM instead. */
const LOOKUP_TIMEOUT_MS = 100;

interface PendingLookup {
  /** Number of VMs that haven't answered. */
  unanswered: number;
  readonly finish: (origin: StreamOrigin | undefined) => void;
}

export class OriginLookup {
  readonly #network: PeerNetwork;
  readonly #pending = new Map<number, PendingLookup>();
  #lastRequestNumber = 0;

  constructor(network: PeerNetwork) {
    this.#network = network;
    network.messages.on("streamOriginReply", ({ message }) => {
      this.#handleReply(message.requestNumber, message.origin);
    });
  }

  /** Resolves with the first origin found, or undefined if there is none. */
  ask(
    vmIds: readonly VmId[],
    attemptId: AttemptId,
  ): Promise<StreamOrigin | undefined> {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const asked = vmIds.filter((vmId) =>
      this.#network.send(vmId, {
        type: "streamOriginRequest",
        requestNumber,
        attemptId,
      })
    );
    if (asked.length === 0) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pending.get(requestNumber)?.finish(undefined);
      }, LOOKUP_TIMEOUT_MS);
      this.#pending.set(requestNumber, {
        unanswered: asked.length,
        finish: (origin) => {
          clearTimeout(timer);
          this.#pending.delete(requestNumber);
          resolve(origin);
        },
      });
    });
  }

  #handleReply(requestNumber: number, origin: StreamOrigin | undefined): void {
    const pending = this.#pending.get(requestNumber);
    if (pending === undefined) return;
    pending.unanswered -= 1;
    if (origin !== undefined || pending.unanswered === 0) {
      pending.finish(origin);
    }
  }
}
