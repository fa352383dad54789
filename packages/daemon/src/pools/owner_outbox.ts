/**
 * Releases and cancels on their way to owners. Those that an owner can't get
 * now wait until it is connected again, or are useless.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  PermitCancelMessage,
  PermitReleaseMessage,
} from "@sassafrasstage/protocol/peer_messages";
import type { PermitLink } from "./permit_link.js";

/** An owner's own count of a permit ends before this time has passed. */
const KEEP_MS = 60_000;
const MAX_KEPT = 10_000;

type OutboxMessage = PermitReleaseMessage | PermitCancelMessage;

interface KeptMessage {
  readonly to: VmId;
  readonly message: OutboxMessage;
  readonly keptAtMs: number;
}

/** Bounded; what is dropped is covered by the permits' expiry. */
export class OwnerOutbox {
  readonly #link: PermitLink;
  #kept: KeptMessage[] = [];

  constructor(link: PermitLink) {
    this.#link = link;
  }

  send(to: VmId, message: OutboxMessage, nowMs: number): void {
    if (!this.#link.send(to, message)) this.keep(to, message, nowMs);
  }

  /** For a message that may have been lost with its connection. */
  keep(to: VmId, message: OutboxMessage, nowMs: number): void {
    this.#kept.push({ to, message, keptAtMs: nowMs });
    if (this.#kept.length > MAX_KEPT) this.#kept.shift();
  }

  /** The VM is connected again. */
  flush(to: VmId, nowMs: number): void {
    const due = this.#kept.filter((kept) => kept.to === to);
    this.#kept = this.#kept.filter((kept) =>
      kept.to !== to && nowMs - kept.keptAtMs < KEEP_MS
    );
    for (const kept of due) this.#link.send(to, kept.message);
  }
}
