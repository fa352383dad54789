/**
 * Asks other VMs where a stream began.
 *
 * @module
 */

import type {
  AttemptId,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { StreamOriginReplyMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  StreamOrigin,
  VersionObservation,
} from "@sassafrasstage/protocol/stream_origin";
import { pollSockets } from "../http/poll_sockets.js";
import type { PeerNetwork } from "../peers/peer_network.js";

/** The client waits for the answer, and may try another VM instead. */
const LOOKUP_TIMEOUT_MS = 100;

export interface OriginQuestion {
  readonly attemptId: AttemptId | undefined;
  readonly service: ServiceName;
}

export interface OriginAnswers {
  /** The first origin that a VM knew. */
  readonly origin: StreamOrigin | undefined;
  /** The VMs that answered in time. */
  readonly answeredBy: readonly VmId[];
  /** What they have observed. */
  readonly observations: readonly VersionObservation[];
}

interface PendingLookup {
  /** Number of VMs that haven't answered. */
  unanswered: number;
  readonly answeredBy: VmId[];
  readonly observations: VersionObservation[];
  readonly finish: (origin: StreamOrigin | undefined) => void;
}

export class OriginLookup {
  readonly #network: PeerNetwork;
  readonly #pending = new Map<number, PendingLookup>();
  #lastRequestNumber = 0;

  constructor(network: PeerNetwork) {
    this.#network = network;
    network.messages.on("streamOriginReply", ({ from, message }) => {
      this.#handleReply(from.vmId, message);
    });
  }

  /** Resolves with the first known origin, or when all VMs have answered. */
  ask(
    vmIds: readonly VmId[],
    question: OriginQuestion,
  ): Promise<OriginAnswers> {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const asked = vmIds.filter((vmId) =>
      this.#network.send(vmId, {
        type: "streamOriginRequest",
        requestNumber,
        ...question,
      })
    );
    const answeredBy: VmId[] = [];
    const observations: VersionObservation[] = [];
    if (asked.length === 0) {
      return Promise.resolve({ origin: undefined, answeredBy, observations });
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        void this.#handleTimeout(requestNumber);
      }, LOOKUP_TIMEOUT_MS);
      this.#pending.set(requestNumber, {
        unanswered: asked.length,
        answeredBy,
        observations,
        finish: (origin) => {
          clearTimeout(timer);
          this.#pending.delete(requestNumber);
          resolve({ origin, answeredBy, observations });
        },
      });
    });
  }

  /** Reads first what has arrived while the event loop was late. */
  async #handleTimeout(requestNumber: number): Promise<void> {
    await pollSockets();
    this.#pending.get(requestNumber)?.finish(undefined);
  }

  #handleReply(from: VmId, message: StreamOriginReplyMessage): void {
    const pending = this.#pending.get(message.requestNumber);
    if (pending === undefined) return;
    pending.unanswered -= 1;
    pending.answeredBy.push(from);
    pending.observations.push(message.observation);
    if (message.origin !== undefined || pending.unanswered === 0) {
      pending.finish(message.origin);
    }
  }
}
