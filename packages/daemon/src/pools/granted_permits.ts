/**
 * The permits that a pool's owner counts as in flight.
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
  /** Undefined for permits that a previous owner granted. */
  readonly urgency: Urgency | undefined;
  /** `-Infinity` for permits that a previous owner granted. */
  readonly grantedAtMs: number;
  /** Expiry by the owner's clock, later than at the permit client. */
  readonly expiresAtMs: number;
  /** Not counted any longer than this, even if the call's end is unknown. */
  readonly countedUntilMs: number;
}

/** All outstanding permits of one pool. */
export class GrantedPermits {
  readonly #byId = new Map<PermitId, GrantedPermit>();
  readonly #byAttempt = new Map<AttemptId, GrantedPermit>();
  #counterPermitCount = 0;
  readonly #expiry = new IndexedHeap<GrantedPermit>(
    (a, b) => a.expiresAtMs - b.expiresAtMs,
  );

  /** The number of outstanding permits with urgency `counter`. */
  get counterPermitCount(): number {
    return this.#counterPermitCount;
  }

  has(permitId: PermitId): boolean {
    return this.#byId.has(permitId);
  }

  add(granted: GrantedPermit): void {
    this.#byId.set(granted.permit.permitId, granted);
    if (granted.urgency === "counter") this.#counterPermitCount += 1;
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
    if (granted.urgency === "counter") this.#counterPermitCount -= 1;
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

  /** Scans all permits; only meant for when the holder's process has ended. */
  heldBy(holder: VmId): GrantedPermit[] {
    return [...this.#byId.values()].filter((g) => g.holder === holder);
  }
}
