/**
 * Asks other daemons to commit operations, and commits theirs.
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

/** A relayed operation that waited longer is not begun. */
const RELAYED_EXPIRY_MS = 2000;

export interface ClaimRelayOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Commits from this process. */
  readonly commit: (operation: Operation) => Promise<OperationResult>;
}

/** One for each process. */
export class ClaimRelay {
  readonly #options: ClaimRelayOptions;
  readonly #waiting = new Map<number, (result: OperationResult) => void>();
  #nextRequest = 1;

  constructor(options: ClaimRelayOptions) {
    this.#options = options;
    this.#answerPeers();
  }

  /** "unavailable" when the peer has not answered in time. */
  ask(
    to: VmId,
    operation: Operation,
    timeoutMs: number,
  ): Promise<OperationResult> {
    const requestNumber = this.#nextRequest++;
    if (!this.#send(to, operation, requestNumber)) {
      return Promise.resolve(UNAVAILABLE);
    }
    return new Promise((resolve) => {
      const waiting = this.#waiting;
      const timer = setTimeout(finish, timeoutMs, UNAVAILABLE);
      waiting.set(requestNumber, finish);

      function finish(result: OperationResult): void {
        clearTimeout(timer);
        waiting.delete(requestNumber);
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

  #answerPeers(): void {
    const { messages } = this.#options.network;
    messages.on("claimReply", ({ message }) => {
      this.#waiting.get(message.requestNumber)?.(message.reply);
    });
    messages.on("claimOutcomeReply", ({ message }) => {
      const { requestNumber, recorded } = message;
      const result = recorded ? { kind: "recorded" } as const : UNAVAILABLE;
      this.#waiting.get(requestNumber)?.(result);
    });
    messages.on("claimRequest", async ({ from, message }) => {
      const { requestNumber, record } = message;
      const operation: ClaimOperation = {
        kind: "claim",
        hash: hashClaimKey(record.key),
        record,
        expiresAtMs: this.#expiresAtMs(),
      };
      // Only the process that would run the request may claim for itself.
      const reply = record.holder === holderOf(from)
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

/** How a process is named in its claims. */
export function holderOf(identity: PeerIdentity): string {
  return `${identity.vmId}/${identity.incarnation}`;
}

function toClaimReply(result: OperationResult): ClaimReply {
  return result.kind === "recorded" ? UNAVAILABLE : result;
}
