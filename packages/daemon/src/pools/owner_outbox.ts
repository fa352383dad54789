/**
 * Outbox for the releases and cancels that are sent to pool owners. Messages to
 * an owner that can't be reached are queued until it is connected again, or
 * until they have become useless.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  PermitCancelMessage,
  PermitReleaseMessage,
} from "@sassafrasstage/protocol/peer_messages";
import type { PermitLink } from "./permit_link.js";

/** An owner stops counting a permit by itself before this time has passed. */
const MAX_MESSAGE_AGE_MS = 60_000;
const MAX_QUEUED_MESSAGES = 10_000;

type OutboxMessage = PermitReleaseMessage | PermitCancelMessage;

interface QueuedMessage {
  readonly to: VmId;
  readonly message: OutboxMessage;
  readonly queuedAtMs: number;
}

/** Bounded; permits whose message is dropped end by their expiry. */
export class OwnerOutbox {
  readonly #link: PermitLink;
  #queued: QueuedMessage[] = [];

  constructor(link: PermitLink) {
    this.#link = link;
  }

  send(to: VmId, message: OutboxMessage, nowMs: number): void {
    if (!this.#link.send(to, message)) this.enqueue(to, message, nowMs);
  }

  /** Queues a message that may have been lost with its connection. */
  enqueue(to: VmId, message: OutboxMessage, nowMs: number): void {
    this.#queued.push({ to, message, queuedAtMs: nowMs });
    if (this.#queued.length > MAX_QUEUED_MESSAGES) this.#queued.shift();
  }

  /** Sends the queued messages to a VM that is connected again. */
  flush(to: VmId, nowMs: number): void {
    const deliverable = this.#queued.filter((queued) => queued.to === to);
    this.#queued = this.#queued.filter((queued) =>
      queued.to !== to && nowMs - queued.queuedAtMs < MAX_MESSAGE_AGE_MS
    );
    for (const queued of deliverable) this.#link.send(to, queued.message);
  }
}
