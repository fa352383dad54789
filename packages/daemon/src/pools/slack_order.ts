/**
 * The default queue order: requests of urgency `counter` first, then deferrable
 * ones; within each urgency by deadline slack among the client accounts that
 * have not used more than their share.
 *
 * @module
 */

import type { ClientAccountId } from "@sassafrasstage/protocol/ids";
import { AccountQueue, compareSlack } from "./account_queue.js";
import { IndexedHeap } from "./indexed_heap.js";
import { likelyWorkMs, type WaitingRequest } from "./waiting_request.js";

/**
 * The server time, divided by the share, by which an account may exceed its
 * share before the other accounts go first.
 */
const SHARE_ALLOWANCE_MS = 1000;
/**
 * How much counter work is served before one aged deferrable request, as a
 * multiple of that request's own work.
 */
const COUNTER_WORK_PER_AGED_WORK = 3;
/** A permit request is aged after this fraction of the time until its latest start. */
const AGED_WAIT_FRACTION = 0.5;

export interface SlackOrderOptions {
  readonly maxAgeMs: number;
}

/** The accounts with waiting requests of one urgency, within and over their share. */
class UrgencyClass {
  readonly #withinShare: IndexedHeap<AccountQueue>;
  readonly #overShare: IndexedHeap<AccountQueue>;
  readonly #urgency: "counter" | "deferrable";

  constructor(urgency: "counter" | "deferrable") {
    this.#urgency = urgency;
    this.#withinShare = new IndexedHeap((a, b) =>
      compareSlack(a.firstOf(urgency), b.firstOf(urgency))
    );
    this.#overShare = new IndexedHeap((a, b) => a.usedMs - b.usedMs);
  }

  /** Must be called after any change to the account. */
  update(account: AccountQueue, entitledMs: number): void {
    this.#withinShare.remove(account);
    this.#overShare.remove(account);
    if (account.firstOf(this.#urgency) === undefined) return;
    const isOverShare = account.usedMs > entitledMs + SHARE_ALLOWANCE_MS;
    (isOverShare ? this.#overShare : this.#withinShare).add(account);
  }

  next(entitledMs: number): AccountQueue | undefined {
    for (;;) {
      const account = this.#overShare.first();
      if (account === undefined) break;
      if (account.usedMs > entitledMs + SHARE_ALLOWANCE_MS) break;
      this.#overShare.remove(account);
      this.#withinShare.add(account);
    }
    return this.#withinShare.first() ?? this.#overShare.first();
  }
}

/**
 * Deferrable work is served before counter work in two cases only, both after
 * it has aged: the counter work's account is over its share while the deferrable
 * work's account is not, or enough counter work has been served since.
 *
 * Accounts are compared by the server time they used divided by their share.
 * `#entitledMs` is the virtual time of this fair queue: what an account that
 * always had work waiting would have used by now. An account that becomes active
 * again starts from there if it had used less, so it builds up neither credit nor
 * debt while idle.
 */
export class SlackOrder {
  readonly isFair = true;
  readonly #maxAgeMs: number;
  readonly #accounts = new Map<ClientAccountId, AccountQueue>();
  readonly #counter = new UrgencyClass("counter");
  readonly #deferrable = new UrgencyClass("deferrable");
  readonly #aging: IndexedHeap<WaitingRequest>;
  #entitledMs = 0;
  #activeShare = 0;
  /** Counter work that was served before aged deferrable work. */
  #counterWorkServedMs = 0;

  constructor(options: SlackOrderOptions) {
    this.#maxAgeMs = options.maxAgeMs;
    this.#aging = new IndexedHeap((a, b) =>
      this.#agedAtMs(a) - this.#agedAtMs(b) || a.number - b.number
    );
  }

  add(waiting: WaitingRequest): void {
    const account = this.#accountOf(waiting);
    if (account.size === 0) {
      account.usedMs = Math.max(account.usedMs, this.#entitledMs);
      this.#activeShare += account.share;
    }
    account.add(waiting);
    if (waiting.permitRequest.urgency === "deferrable") {
      this.#aging.add(waiting);
    }
    this.#updateClasses(account);
  }

  remove(waiting: WaitingRequest): void {
    const account = this.#accounts.get(waiting.permitRequest.clientAccountId);
    if (account?.remove(waiting) !== true) return;
    this.#aging.remove(waiting);
    if (account.size === 0) this.#deactivate(account);
    this.#updateClasses(account);
  }

  takeNext(nowMs: number): WaitingRequest | undefined {
    const next = this.#choose(nowMs);
    if (next === undefined) return undefined;
    this.#charge(next, 1);
    this.remove(next);
    return next;
  }

  putBack(waiting: WaitingRequest): void {
    this.add(waiting);
    this.#charge(waiting, -1);
  }

  #choose(nowMs: number): WaitingRequest | undefined {
    const counterAccount = this.#counter.next(this.#entitledMs);
    const deferrableAccount = this.#deferrable.next(this.#entitledMs);
    const counter = counterAccount?.firstOf("counter");
    const deferrable = deferrableAccount?.firstOf("deferrable");
    if (counter === undefined || deferrable === undefined) {
      return counter ?? deferrable;
    }
    const isDeferrableFirst = this.#isOverShare(counterAccount) &&
      !this.#isOverShare(deferrableAccount) &&
      this.#agedAtMs(deferrable) <= nowMs;
    return isDeferrableFirst
      ? deferrable
      : this.#chooseByAge(counter, deferrable, nowMs);
  }

  #chooseByAge(
    counter: WaitingRequest,
    deferrable: WaitingRequest,
    nowMs: number,
  ): WaitingRequest {
    const oldest = this.#aging.first();
    if (oldest === undefined || this.#agedAtMs(oldest) > nowMs) {
      this.#counterWorkServedMs = 0;
      return counter;
    }
    const neededMs = likelyWorkMs(deferrable) * COUNTER_WORK_PER_AGED_WORK;
    if (this.#counterWorkServedMs >= neededMs) {
      this.#counterWorkServedMs -= neededMs;
      return deferrable;
    }
    this.#counterWorkServedMs += likelyWorkMs(counter);
    return counter;
  }

  #isOverShare(account: AccountQueue | undefined): boolean {
    return account !== undefined &&
      account.usedMs > this.#entitledMs + SHARE_ALLOWANCE_MS;
  }

  #charge(waiting: WaitingRequest, sign: 1 | -1): void {
    const account = this.#accounts.get(waiting.permitRequest.clientAccountId);
    if (account === undefined) return;
    const workMs = sign * likelyWorkMs(waiting);
    account.usedMs += workMs / account.share;
    this.#entitledMs += workMs / Math.max(account.share, this.#activeShare);
    this.#updateClasses(account);
  }

  #accountOf(waiting: WaitingRequest): AccountQueue {
    const id = waiting.permitRequest.clientAccountId;
    const known = this.#accounts.get(id);
    if (known !== undefined) return known;
    const account = new AccountQueue(waiting.share);
    this.#accounts.set(id, account);
    return account;
  }

  #deactivate(account: AccountQueue): void {
    this.#activeShare -= account.share;
    this.#forgetIdleAccounts();
  }

  /**
   * Forgets idle accounts that have used no more than they are entitled to.
   * Looks at two accounts per call, so the cost per permit request is O(1).
   */
  #forgetIdleAccounts(): void {
    let checked = 0;
    for (const [id, account] of this.#accounts) {
      checked += 1;
      if (account.size > 0 || account.usedMs > this.#entitledMs) {
        this.#accounts.delete(id);
        this.#accounts.set(id, account);
      } else {
        this.#accounts.delete(id);
      }
      if (checked >= 2) return;
    }
  }

  #updateClasses(account: AccountQueue): void {
    this.#counter.update(account, this.#entitledMs);
    this.#deferrable.update(account, this.#entitledMs);
  }

  #agedAtMs(waiting: WaitingRequest): number {
    const maxWaitMs = waiting.latestStartAtMs - waiting.receivedAtMs;
    return waiting.receivedAtMs +
      Math.min(this.#maxAgeMs, maxWaitMs * AGED_WAIT_FRACTION);
  }
}
