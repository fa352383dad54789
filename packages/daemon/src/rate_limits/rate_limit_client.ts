/**
 * Asks the owner of a server's rate limit for each request to the server.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@sassafrasstage/protocol/ids";
import type { RateDecisionMessage } from "@sassafrasstage/protocol/peer_messages";
import type { StatedRateLimit } from "@sassafrasstage/protocol/rate_limits";
import { pollSockets } from "../http/poll_sockets.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { RateDecision } from "./rate_limit_owner.js";

/** A request can be sent to another server instead of waiting longer. */
const DECISION_TIMEOUT_MS = 100;
/** Time after which an owner that didn't answer is asked again. */
const SILENT_OWNER_RETRY_MS = 250;
/** Time after which a new connection to the owner is likely to be up. */
const NOT_CONNECTED_RETRY_MS = 50;

export interface RateQuestion {
  readonly backendServerId: BackendServerId;
  readonly requestsPerSecond: number;
  /** What this VM knows about the server's statements. */
  readonly stated: StatedRateLimit | undefined;
}

interface PendingQuestion {
  readonly backendServerId: BackendServerId;
  readonly resolve: (decision: RateDecision) => void;
  readonly timer: NodeJS.Timeout;
}

export interface RateLimitClientOptions {
  readonly network: PeerNetwork;
  /** Called when an owner knows more about a server's limit than this VM. */
  readonly onStated: (
    id: BackendServerId,
    stated: StatedRateLimit,
    from: VmId,
  ) => void;
  readonly onTimeout: (id: BackendServerId, owner: VmId) => void;
}

export class RateLimitClient {
  readonly #options: RateLimitClientOptions;
  readonly #pending = new Map<number, PendingQuestion>();
  #lastRequestNumber = 0;

  constructor(options: RateLimitClientOptions) {
    this.#options = options;
    options.network.messages.on("rateDecision", ({ from, message }) => {
      this.#handleDecision(from.vmId, message);
    });
  }

  /** Resolves with a denial if the owner doesn't answer in time. */
  ask(owner: VmId, question: RateQuestion): Promise<RateDecision> {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const isSent = this.#options.network.send(owner, {
      type: "rateRequest",
      requestNumber,
      ...question,
    });
    if (!isSent) {
      return Promise.resolve({
        kind: "denied",
        retryAfterMs: NOT_CONNECTED_RETRY_MS,
      });
    }
    const { backendServerId } = question;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        void this.#handleTimeout(requestNumber, owner);
      }, DECISION_TIMEOUT_MS);
      this.#pending.set(requestNumber, { backendServerId, resolve, timer });
    });
  }

  /** Reads first what has arrived while the event loop was late. */
  async #handleTimeout(requestNumber: number, owner: VmId): Promise<void> {
    await pollSockets();
    const pending = this.#pending.get(requestNumber);
    if (pending === undefined) return;
    this.#pending.delete(requestNumber);
    this.#options.onTimeout(pending.backendServerId, owner);
    pending.resolve({ kind: "denied", retryAfterMs: SILENT_OWNER_RETRY_MS });
  }

  /** A grant that arrives after its question was given up remains unused. */
  #handleDecision(from: VmId, message: RateDecisionMessage): void {
    const pending = this.#pending.get(message.requestNumber);
    if (pending === undefined) return;
    this.#pending.delete(message.requestNumber);
    clearTimeout(pending.timer);
    if (message.stated !== undefined) {
      this.#options.onStated(pending.backendServerId, message.stated, from);
    }
    pending.resolve(
      message.isGranted
        ? { kind: "granted" }
        : { kind: "denied", retryAfterMs: message.retryAfterMs },
    );
  }
}
