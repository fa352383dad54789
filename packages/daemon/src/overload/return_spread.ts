/**
 * Spreads the times at which refused clients come back, so that each finds
 * capacity.
 *
 * Load pattern: a burst refuses many clients at one moment. With the same
 * `Retry-After`, they would come back as a second burst.
 *
 * @module
 */

/** Returns are booked in slots of this length. */
const SLOT_MS = 50;
/** Part of the capacity for returning work; the rest is for new work. */
const RETURN_CAPACITY_SHARE = 0.3;
/** Upper bound of the slots that are looked at for one refusal. */
const MAX_SLOTS = 200;

export interface ReturnRequest {
  readonly nowMs: number;
  /** Earliest delay after which there may be capacity. */
  readonly earliestMs: number;
  /** Longest delay that the client can accept. */
  readonly latestMs: number;
  /** Time of the resource that the returning request needs. */
  readonly workMs: number;
  /** Time of the resource that becomes available per millisecond. */
  readonly capacity: number;
}

/** One per scarce resource. */
export class ReturnSpread {
  /** Work booked by number of the slot. */
  readonly #bookedMs = new Map<number, number>();
  #firstSlot = -Infinity;

  /**
   * Returns the delay after which the client should come back, and books its
   * work. If no slot has room, the one with the least work is taken.
   *
   * @example
   * ```ts
   * const retryAfterMs = spread.book({
   *   nowMs, earliestMs: 250, latestMs: 2000, workMs: 80, capacity: 4,
   * });
   * ```
   */
  book(request: ReturnRequest): number {
    const { nowMs, earliestMs, workMs, capacity } = request;
    const latestMs = Math.max(earliestMs, request.latestMs);
    this.#dropPast(nowMs);
    const roomMs = Math.max(0, capacity) * RETURN_CAPACITY_SHARE * SLOT_MS;
    const first = slotOf(nowMs + earliestMs);
    const last = Math.min(slotOf(nowMs + latestMs), first + MAX_SLOTS);
    let chosen = first;
    let leastMs = Infinity;
    for (let slot = first; slot <= last; slot++) {
      const bookedMs = this.#bookedMs.get(slot) ?? 0;
      if (bookedMs >= leastMs) continue;
      chosen = slot;
      leastMs = bookedMs;
      // Work that exceeds a slot goes into the first one that has any room.
      if (bookedMs < roomMs) break;
    }
    this.#bookedMs.set(chosen, (this.#bookedMs.get(chosen) ?? 0) + workMs);
    const delayMs = chosen * SLOT_MS - nowMs;
    return Math.min(latestMs, Math.max(earliestMs, delayMs));
  }

  #dropPast(nowMs: number): void {
    const current = slotOf(nowMs);
    if (current === this.#firstSlot) return;
    this.#firstSlot = current;
    for (const slot of this.#bookedMs.keys()) {
      if (slot < current) this.#bookedMs.delete(slot);
    }
  }
}

function slotOf(atMs: number): number {
  return Math.floor(atMs / SLOT_MS);
}
