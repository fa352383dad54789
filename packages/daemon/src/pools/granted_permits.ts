/**
 * The permits that an owner counts as in flight.
 *
 * @module
 */

import type { AttemptId, PermitId, VmId } from "@sassafrasstage/protocol/ids";
import type { Permit } from "@sassafrasstage/protocol/permits";
import type { Urgency } from "@sassafrasstage/protocol/rules";
import { IndexedHeap } from "./indexed_heap.js";

export interface GrantedPermit {
  readonly permit: Permit;
  readonly holder: VmId;
  /** Undefined for permits of a former owner. */
  readonly urgency: Urgency | undefined;
  readonly grantedAtMs: number;
  /** The owner's own time, later than the permit client's end of the permit. */
  readonly expiresAtMs: number;
  /** No longer to be waited for, whatever became of the call. */
  readonly lostAtMs: number;
}

/** All permits that are out for one pool. */
export class GrantedPermits {
  readonly #byId = new Map<PermitId, GrantedPermit>();
  readonly #byAttempt = new Map<AttemptId, GrantedPermit>();
  #counterCount = 0;
  readonly #expiry = new IndexedHeap<GrantedPermit>(
    (a, b) => a.expiresAtMs - b.expiresAtMs,
  );

  /** Permits of callers at a counter. */
  get counterCount(): number {
    return this.#counterCount;
  }

  has(permitId: PermitId): boolean {
    return this.#byId.has(permitId);
  }

  add(granted: GrantedPermit): void {
    this.#byId.set(granted.permit.permitId, granted);
    if (granted.urgency === "counter") this.#counterCount += 1;
    this.#byAttempt.set(granted.permit.attemptId, granted);
    this.#expiry.add(granted);
  }

  findByAttempt(attemptId: AttemptId): GrantedPermit | undefined {
    return this.#byAttempt.get(attemptId);
  }

  take(permitId: PermitId): GrantedPermit | undefined {
    const granted = this.#byId.get(permitId);
    if (granted === undefined) return undefined;
    this.#byId.delete(permitId);
    if (granted.urgency === "counter") this.#counterCount -= 1;
    this.#byAttempt.delete(granted.permit.attemptId);
    this.#expiry.remove(granted);
    return granted;
  }

  takeExpired(nowMs: number): GrantedPermit[] {
    const expired: GrantedPermit[] = [];
    for (;;) {
      const first = this.#expiry.first();
      if (first === undefined || first.expiresAtMs > nowMs) return expired;
      this.take(first.permit.permitId);
      expired.push(first);
    }
  }

  /** For the rare event of a holder's end only: reads all. */
  heldBy(holder: VmId): GrantedPermit[] {
    return [...this.#byId.values()].filter((g) => g.holder === holder);
  }
}
