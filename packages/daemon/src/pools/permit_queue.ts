/**
 * The bounded queue of one pool: its order, expiry, and load shedding when full.
 *
 * @module
 */

import type { AttemptId, ClientAccountId } from "@sassafrasstage/protocol/ids";
import { IndexedHeap } from "./indexed_heap.js";
import type { QueueOrder } from "./queue_order.js";
import { likelyWorkMs, type WaitingRequest } from "./waiting_request.js";

/** The waiting permit requests of one client account. */
interface AccountBacklog {
  readonly id: ClientAccountId;
  readonly share: number;
  workMs: number;
  /** Ordered so that the first request to shed is at the top. */
  readonly permitRequests: IndexedHeap<WaitingRequest>;
}

export type QueueAdmission =
  | { readonly kind: "admitted" }
  /** Another permit request was removed to make room. */
  | { readonly kind: "admittedInsteadOf"; readonly shed: WaitingRequest }
  /** The queue is full, and the account holds the most of it relative to its share. */
  | { readonly kind: "shareExceeded" };

/** Two upper bounds of the work until a request starts; the smaller one applies. */
export interface WorkAhead {
  /** All waiting work of its urgency and of more urgent requests. */
  readonly urgencyBoundMs: number;
  /** The work of all accounts while its account's backlog is served at its share. */
  readonly shareBoundMs: number;
}

/** All waiting permit requests of a pool. Each call costs O(log n). */
export class PermitQueue {
  readonly #order: QueueOrder;
  readonly #maxLength: number;
  readonly #byAttempt = new Map<AttemptId, WaitingRequest>();
  readonly #expiry = new IndexedHeap<WaitingRequest>(
    (a, b) => a.latestStartAtMs - b.latestStartAtMs || a.number - b.number,
  );
  readonly #backlogs = new Map<ClientAccountId, AccountBacklog>();
  readonly #largestBacklogs = new IndexedHeap<AccountBacklog>(
    (a, b) => b.permitRequests.size / b.share - a.permitRequests.size / a.share,
  );
  #counterWorkMs = 0;
  #workMs = 0;
  #totalActiveShare = 0;

  constructor(order: QueueOrder, maxLength: number) {
    this.#order = order;
    this.#maxLength = maxLength;
  }

  get size(): number {
    return this.#byAttempt.size;
  }

  /** Expected server time of all waiting permit requests. */
  get workMs(): number {
    return this.#workMs;
  }

  find(attemptId: AttemptId): WaitingRequest | undefined {
    return this.#byAttempt.get(attemptId);
  }

  all(): Iterable<WaitingRequest> {
    return this.#byAttempt.values();
  }

  add(waiting: WaitingRequest): QueueAdmission {
    const shed = this.size < this.#maxLength
      ? undefined
      : this.#chooseRequestToShed(waiting);
    if (shed === waiting) return { kind: "shareExceeded" };
    if (shed !== undefined) this.remove(shed);
    this.#order.add(waiting);
    this.#addToIndexes(waiting);
    if (shed === undefined) return { kind: "admitted" };
    return { kind: "admittedInsteadOf", shed };
  }

  remove(waiting: WaitingRequest): void {
    if (!this.#byAttempt.has(waiting.permitRequest.attemptId)) return;
    this.#order.remove(waiting);
    this.#removeFromIndexes(waiting);
  }

  takeNext(nowMs: number): WaitingRequest | undefined {
    const next = this.#order.takeNext(nowMs);
    if (next !== undefined) this.#removeFromIndexes(next);
    return next;
  }

  putBack(waiting: WaitingRequest): void {
    this.#order.putBack(waiting);
    this.#addToIndexes(waiting);
  }

  /** Removes and returns all permit requests that can no longer start in time. */
  takeExpired(nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    for (;;) {
      const first = this.#expiry.first();
      if (first === undefined || first.latestStartAtMs > nowMs) return expired;
      this.remove(first);
      expired.push(first);
    }
  }

  /** Bounds of the work until the permit request starts, its own work included. */
  workAhead(waiting: WaitingRequest): WorkAhead {
    const urgencyWorkMs = waiting.permitRequest.urgency === "counter"
      ? this.#counterWorkMs
      : this.#workMs;
    const backlog = this.#backlogs.get(waiting.permitRequest.clientAccountId);
    const share = backlog === undefined
      ? this.#totalActiveShare + waiting.share
      : this.#totalActiveShare;
    const ownMs = (backlog?.workMs ?? 0) + likelyWorkMs(waiting);
    return {
      urgencyBoundMs: urgencyWorkMs + likelyWorkMs(waiting),
      shareBoundMs: this.#order.isFair
        ? ownMs * share / waiting.share
        : Infinity,
    };
  }

  /**
   * Chooses between the incoming permit request and the first to be shed of the
   * account with the most waiting permit requests relative to its share.
   */
  #chooseRequestToShed(incoming: WaitingRequest): WaitingRequest {
    const largest = this.#largestBacklogs.first();
    const firstToShed = largest?.permitRequests.first();
    if (largest === undefined || firstToShed === undefined) return incoming;
    const own = this.#backlogs.get(incoming.permitRequest.clientAccountId);
    const ownWeightedLength = ((own?.permitRequests.size ?? 0) + 1) /
      incoming.share;
    if (
      own !== largest &&
      ownWeightedLength <= largest.permitRequests.size / largest.share
    ) {
      return firstToShed;
    }
    return own === largest && compareSheddingOrder(incoming, firstToShed) > 0
      ? firstToShed
      : incoming;
  }

  #addToIndexes(waiting: WaitingRequest): void {
    const { clientAccountId, attemptId, urgency } = waiting.permitRequest;
    const workMs = likelyWorkMs(waiting);
    this.#byAttempt.set(attemptId, waiting);
    this.#expiry.add(waiting);
    this.#workMs += workMs;
    if (urgency === "counter") this.#counterWorkMs += workMs;
    const backlog = this.#backlogs.get(clientAccountId) ??
      this.#createBacklog(waiting);
    backlog.workMs += workMs;
    backlog.permitRequests.add(waiting);
    this.#largestBacklogs.add(backlog);
  }

  #createBacklog(waiting: WaitingRequest): AccountBacklog {
    const backlog: AccountBacklog = {
      id: waiting.permitRequest.clientAccountId,
      share: waiting.share,
      workMs: 0,
      permitRequests: new IndexedHeap(compareSheddingOrder),
    };
    this.#backlogs.set(backlog.id, backlog);
    this.#totalActiveShare += backlog.share;
    return backlog;
  }

  #removeFromIndexes(waiting: WaitingRequest): void {
    const { clientAccountId, attemptId, urgency } = waiting.permitRequest;
    const workMs = likelyWorkMs(waiting);
    this.#byAttempt.delete(attemptId);
    this.#expiry.remove(waiting);
    this.#workMs -= workMs;
    if (urgency === "counter") this.#counterWorkMs -= workMs;
    const backlog = this.#backlogs.get(clientAccountId);
    if (backlog === undefined) return;
    backlog.workMs -= workMs;
    backlog.permitRequests.remove(waiting);
    if (backlog.permitRequests.size > 0) {
      this.#largestBacklogs.add(backlog);
      return;
    }
    this.#largestBacklogs.remove(backlog);
    this.#backlogs.delete(clientAccountId);
    this.#totalActiveShare -= backlog.share;
  }
}

/** Sheds deferrable before counter, and the latest arrival first. */
function compareSheddingOrder(
  first: WaitingRequest,
  second: WaitingRequest,
): number {
  const firstIsCounter = Number(first.permitRequest.urgency === "counter");
  const secondIsCounter = Number(second.permitRequest.urgency === "counter");
  return firstIsCounter - secondIsCounter || second.number - first.number;
}
