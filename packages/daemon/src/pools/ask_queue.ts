/**
 * The bounded queue of one pool: order, expiry, and whom to shed when full.
 *
 * @module
 */

import type { AttemptId, ClientAccountId } from "@sassafrasstage/protocol/ids";
import { IndexedHeap } from "./indexed_heap.js";
import type { QueueOrder } from "./queue_order.js";
import { likelyWorkMs, type WaitingAsk } from "./waiting_ask.js";

/** What one client account has waiting. */
interface AccountBacklog {
  readonly id: ClientAccountId;
  readonly share: number;
  workMs: number;
  /** Least worth keeping first. */
  readonly asks: IndexedHeap<WaitingAsk>;
}

export type QueueAdmission =
  | { readonly kind: "admitted" }
  /** Another one had to go to make room. */
  | { readonly kind: "admittedInsteadOf"; readonly shed: WaitingAsk }
  /** The queue is full, and this account holds the most of it. */
  | { readonly kind: "shareExceeded" };

/** Two upper bounds of the work before an ask: the smaller one holds. */
export interface WorkAhead {
  /** What waits in its urgency class and those before it. */
  readonly ofClassMs: number;
  /** What all accounts get while its own backlog is served at its share. */
  readonly ofShareMs: number;
}

/** All waiting asks of a pool. Each call costs O(log n). */
export class AskQueue {
  readonly #order: QueueOrder;
  readonly #maxLength: number;
  readonly #byAttempt = new Map<AttemptId, WaitingAsk>();
  readonly #expiry = new IndexedHeap<WaitingAsk>(
    (a, b) => a.latestStartAtMs - b.latestStartAtMs || a.number - b.number,
  );
  readonly #backlogs = new Map<ClientAccountId, AccountBacklog>();
  readonly #heaviest = new IndexedHeap<AccountBacklog>(
    (a, b) => b.asks.size / b.share - a.asks.size / a.share,
  );
  #counterWorkMs = 0;
  #workMs = 0;
  #activeShare = 0;

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

  find(attemptId: AttemptId): WaitingAsk | undefined {
    return this.#byAttempt.get(attemptId);
  }

  all(): Iterable<WaitingAsk> {
    return this.#byAttempt.values();
  }

  add(waiting: WaitingAsk): QueueAdmission {
    const shed = this.size < this.#maxLength
      ? undefined
      : this.#chooseShed(waiting);
    if (shed === waiting) return { kind: "shareExceeded" };
    if (shed !== undefined) this.remove(shed);
    this.#order.add(waiting);
    this.#enter(waiting);
    if (shed === undefined) return { kind: "admitted" };
    return { kind: "admittedInsteadOf", shed };
  }

  remove(waiting: WaitingAsk): void {
    if (!this.#byAttempt.has(waiting.ask.attemptId)) return;
    this.#order.remove(waiting);
    this.#leave(waiting);
  }

  takeNext(nowMs: number): WaitingAsk | undefined {
    const next = this.#order.takeNext(nowMs);
    if (next !== undefined) this.#leave(next);
    return next;
  }

  putBack(waiting: WaitingAsk): void {
    this.#order.putBack(waiting);
    this.#enter(waiting);
  }

  /** Takes out all asks that can no longer start in time. */
  takeExpired(nowMs: number): WaitingAsk[] {
    const expired: WaitingAsk[] = [];
    for (;;) {
      const first = this.#expiry.first();
      if (first === undefined || first.latestStartAtMs > nowMs) return expired;
      this.remove(first);
      expired.push(first);
    }
  }

  /** The work to be served until the given ask starts, itself included. */
  workAhead(waiting: WaitingAsk): WorkAhead {
    const ofClassMs = waiting.ask.urgency === "counter"
      ? this.#counterWorkMs
      : this.#workMs;
    const backlog = this.#backlogs.get(waiting.ask.clientAccountId);
    const share = backlog === undefined
      ? this.#activeShare + waiting.share
      : this.#activeShare;
    const ownMs = (backlog?.workMs ?? 0) + likelyWorkMs(waiting);
    return {
      ofClassMs: ofClassMs + likelyWorkMs(waiting),
      ofShareMs: this.#order.isFair ? ownMs * share / waiting.share : Infinity,
    };
  }

  /** The newcomer itself, or the least worthy ask of the heaviest account. */
  #chooseShed(newcomer: WaitingAsk): WaitingAsk {
    const heaviest = this.#heaviest.first();
    const worst = heaviest?.asks.first();
    if (heaviest === undefined || worst === undefined) return newcomer;
    const own = this.#backlogs.get(newcomer.ask.clientAccountId);
    const ownWeight = ((own?.asks.size ?? 0) + 1) / newcomer.share;
    if (own !== heaviest && ownWeight <= heaviest.asks.size / heaviest.share) {
      return worst;
    }
    return own === heaviest && compareWorth(newcomer, worst) > 0
      ? worst
      : newcomer;
  }

  #enter(waiting: WaitingAsk): void {
    const { clientAccountId, attemptId, urgency } = waiting.ask;
    const workMs = likelyWorkMs(waiting);
    this.#byAttempt.set(attemptId, waiting);
    this.#expiry.add(waiting);
    this.#workMs += workMs;
    if (urgency === "counter") this.#counterWorkMs += workMs;
    const backlog = this.#backlogs.get(clientAccountId) ??
      this.#openBacklog(waiting);
    backlog.workMs += workMs;
    backlog.asks.add(waiting);
    this.#heaviest.add(backlog);
  }

  #openBacklog(waiting: WaitingAsk): AccountBacklog {
    const backlog: AccountBacklog = {
      id: waiting.ask.clientAccountId,
      share: waiting.share,
      workMs: 0,
      asks: new IndexedHeap(compareWorth),
    };
    this.#backlogs.set(backlog.id, backlog);
    this.#activeShare += backlog.share;
    return backlog;
  }

  #leave(waiting: WaitingAsk): void {
    const { clientAccountId, attemptId, urgency } = waiting.ask;
    const workMs = likelyWorkMs(waiting);
    this.#byAttempt.delete(attemptId);
    this.#expiry.remove(waiting);
    this.#workMs -= workMs;
    if (urgency === "counter") this.#counterWorkMs -= workMs;
    const backlog = this.#backlogs.get(clientAccountId);
    if (backlog === undefined) return;
    backlog.workMs -= workMs;
    backlog.asks.remove(waiting);
    if (backlog.asks.size > 0) {
      this.#heaviest.add(backlog);
      return;
    }
    this.#heaviest.remove(backlog);
    this.#backlogs.delete(clientAccountId);
    this.#activeShare -= backlog.share;
  }
}

/** Deferrable before counter, then the latest arrival. */
function compareWorth(first: WaitingAsk, second: WaitingAsk): number {
  const firstIsCounter = Number(first.ask.urgency === "counter");
  const secondIsCounter = Number(second.ask.urgency === "counter");
  return firstIsCounter - secondIsCounter || second.number - first.number;
}
