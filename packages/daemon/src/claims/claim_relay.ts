/**
 * Sends operations to other daemons to commit, and commits those that other
 * daemons send.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { ClaimReply } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerIdentity, PeerNetwork } from "../peers/peer_network.js";
import { hashClaimKey } from "./claim_hash.js";
import {
  type ClaimOperation,
  type Operation,
  type OperationResult,
  type SettleOperation,
  UNAVAILABLE,
} from "./claim_operation.js";

/** A relayed operation that has waited for longer is not started. */
const RELAYED_EXPIRY_MS = 2000;

export interface ClaimRelayOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Commits an operation from this process. */
  readonly commit: (operation: Operation) => Promise<OperationResult>;
}

/** Exchanges claim messages with peers; one instance per process. */
export class ClaimRelay {
  readonly #options: ClaimRelayOptions;
  readonly #pendingRequests = new Map<
    number,
    (result: OperationResult) => void
  >();
  #nextRequestNumber = 1;

  constructor(options: ClaimRelayOptions) {
    this.#options = options;
    this.#registerMessageHandlers();
  }

  /** Resolves to "unavailable" if the peer does not reply in time. */
  requestCommit(
    to: VmId,
    operation: Operation,
    timeoutMs: number,
  ): Promise<OperationResult> {
    const requestNumber = this.#nextRequestNumber++;
    if (!this.#send(to, operation, requestNumber)) {
      return Promise.resolve(UNAVAILABLE);
    }
    return new Promise((resolve) => {
      const pendingRequests = this.#pendingRequests;
      const timer = setTimeout(finish, timeoutMs, UNAVAILABLE);
      pendingRequests.set(requestNumber, finish);

      function finish(result: OperationResult): void {
        clearTimeout(timer);
        pendingRequests.delete(requestNumber);
        resolve(result);
      }
    });
  }

  #send(to: VmId, operation: Operation, requestNumber: number): boolean {
    const { network } = this.#options;
    switch (operation.kind) {
      case "claim":
        return network.send(to, {
          type: "claimRequest",
          requestNumber,
          record: operation.record,
        });
      case "settle":
        return network.send(to, {
          type: "claimOutcome",
          requestNumber,
          key: operation.key,
          attemptId: operation.attemptId,
          outcome: operation.outcome,
        });
    }
  }

  #registerMessageHandlers(): void {
    const { messages } = this.#options.network;
    messages.on("claimReply", ({ message }) => {
      this.#pendingRequests.get(message.requestNumber)?.(message.reply);
    });
    messages.on("claimOutcomeReply", ({ message }) => {
      const { requestNumber, recorded } = message;
      const result = recorded ? { kind: "recorded" } as const : UNAVAILABLE;
      this.#pendingRequests.get(requestNumber)?.(result);
    });
    messages.on("claimRequest", async ({ from, message }) => {
      const { requestNumber, record } = message;
      const operation: ClaimOperation = {
        kind: "claim",
        hash: hashClaimKey(record.key),
        record,
        expiresAtMs: this.#expiresAtMs(),
      };
      // A process may claim a key only for itself, since it runs the request.
      const reply = record.holder === formatHolder(from)
        ? toClaimReply(await this.#options.commit(operation))
        : UNAVAILABLE;
      this.#options.metrics.countEvent("claimRelayed");
      this.#options.network.send(from.vmId, {
        type: "claimReply",
        requestNumber,
        reply,
      });
    });
    messages.on("claimOutcome", async ({ from, message }) => {
      const { requestNumber, key, attemptId, outcome } = message;
      const operation: SettleOperation = {
        kind: "settle",
        key,
        hash: hashClaimKey(key),
        attemptId,
        outcome,
        expiresAtMs: this.#expiresAtMs(),
      };
      const result = await this.#options.commit(operation);
      this.#options.network.send(from.vmId, {
        type: "claimOutcomeReply",
        requestNumber,
        recorded: result.kind === "recorded",
      });
    });
  }

  #expiresAtMs(): number {
    return this.#options.clock.nowMs() + RELAYED_EXPIRY_MS;
  }
}

/** Formats the identity of a process as the holder of a claim. */
export function formatHolder(identity: PeerIdentity): string {
  return `${identity.vmId}/${identity.incarnation}`;
}

function toClaimReply(result: OperationResult): ClaimReply {
  return result.kind === "recorded" ? UNAVAILABLE : result;
}
