/**
 * The bounded queue of one pool: order, expiry, and whom to shed when full.
 *
 * @module
 */

import type { AttemptId, ClientAccountId } from "@sassafrasstage/protocol/ids";
import { IndexedHeap } from "./indexed_heap.js";
import type { QueueOrder } from "./queue_order.js";
import { likelyWorkMs, type WaitingRequest } from "./waiting_request.js";

/** What one client account has waiting. */
interface AccountBacklog {
  readonly id: ClientAccountId;
  readonly share: number;
  workMs: number;
  /** Least worth keeping first. */
  readonly permitRequests: IndexedHeap<WaitingRequest>;
}

export type QueueAdmission =
  | { readonly kind: "admitted" }
  /** Another one had to go to make room. */
  | { readonly kind: "admittedInsteadOf"; readonly shed: WaitingRequest }
  /** The queue is full, and this account holds the most of it. */
  | { readonly kind: "shareExceeded" };

/** Two upper bounds of the work before a permit request: the smaller one holds. */
export interface WorkAhead {
  /** What waits in its urgency class and those before it. */
  readonly ofClassMs: number;
  /** What all accounts get while its own backlog is served at its share. */
  readonly ofShareMs: number;
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

  /** The likely server time of all that waits. */
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

  /** Takes out all permit requests that can no longer start in time. */
  takeExpired(nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    for (;;) {
      const first = this.#expiry.first();
      if (first === undefined || first.latestStartAtMs > nowMs) return expired;
      this.remove(first);
      expired.push(first);
    }
  }

  /** The work to be served until the given permit request starts, itself included. */
  workAhead(waiting: WaitingRequest): WorkAhead {
    const ofClassMs = waiting.permitRequest.urgency === "counter"
      ? this.#counterWorkMs
      : this.#workMs;
    const backlog = this.#backlogs.get(waiting.permitRequest.clientAccountId);
    const share = backlog === undefined
      ? this.#totalActiveShare + waiting.share
      : this.#totalActiveShare;
    const ownMs = (backlog?.workMs ?? 0) + likelyWorkMs(waiting);
    return {
      ofClassMs: ofClassMs + likelyWorkMs(waiting),
      ofShareMs: this.#order.isFair ? ownMs * share / waiting.share : Infinity,
    };
  }

  /** The newcomer itself, or the least worthy permit request of the heaviest account. */
  #chooseRequestToShed(incoming: WaitingRequest): WaitingRequest {
    const largest = this.#largestBacklogs.first();
    const firstToShed = largest?.permitRequests.first();
    if (largest === undefined || firstToShed === undefined) return incoming;
    const own = this.#backlogs.get(incoming.permitRequest.clientAccountId);
    const ownWeightedLength = ((own?.permitRequests.size ?? 0) + 1) / incoming.share;
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

/** Deferrable before counter, then the latest arrival. */
function compareSheddingOrder(first: WaitingRequest, second: WaitingRequest): number {
  const firstIsCounter = Number(first.permitRequest.urgency === "counter");
  const secondIsCounter = Number(second.permitRequest.urgency === "counter");
  return firstIsCounter - secondIsCounter || second.number - first.number;
}
