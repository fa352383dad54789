/**
 * The permits that this VM holds for requests to a rollout's candidate.
 *
 * @module
 */

import type {
  RolloutPermitGrant,
  RolloutPermitUse,
} from "@sassafrasstage/protocol/rollouts";
import type { ExposurePermit } from "./rollout_gate.js";

interface Batch {
  count: number;
  readonly expiresAtMs: number;
}

interface RoutePermits {
  batches: Batch[];
  used: number;
  expired: number;
}

export class HeldPermits {
  readonly #routes = new Map<string, RoutePermits>();
  #term = "";

  /** Of the owner whose permits are held; empty before the first. */
  get term(): string {
    return this.#term;
  }

  add(
    term: string,
    grants: readonly RolloutPermitGrant[],
    expiresAtMs: number,
  ): void {
    // The owner before takes its permits as used.
    if (term !== this.#term) this.#routes.clear();
    this.#term = term;
    for (const { route, count } of grants) {
      if (count === 0) continue;
      const permits = this.#routes.get(route) ??
        { batches: [], used: 0, expired: 0 };
      permits.batches.push({ count, expiresAtMs });
      this.#routes.set(route, permits);
    }
  }

  count(route: string, nowMs: number): number {
    const permits = this.#routes.get(route);
    if (permits === undefined) return 0;
    expire(permits, nowMs);
    return permits.batches.reduce((sum, { count }) => sum + count, 0);
  }

  take(route: string, nowMs: number): ExposurePermit | undefined {
    if (this.count(route, nowMs) === 0) return undefined;
    const permits = this.#routes.get(route);
    const batch = permits?.batches[0];
    if (permits === undefined || batch === undefined) return undefined;
    batch.count -= 1;
    if (batch.count === 0) permits.batches.shift();
    permits.used += 1;
    let isGivenBack = false;
    return {
      expiresAtMs: batch.expiresAtMs,
      giveBack: () => {
        if (isGivenBack) return;
        isGivenBack = true;
        permits.used -= 1;
        permits.expired += 1;
      },
    };
  }

  /** Ends all permits; they count as expired. */
  expireAll(): void {
    for (const permits of this.#routes.values()) expire(permits, Infinity);
  }

  use(nowMs: number): RolloutPermitUse[] {
    return [...this.#routes].map(([route, permits]) => {
      expire(permits, nowMs);
      return { route, used: permits.used, expired: permits.expired };
    });
  }
}

function expire(permits: RoutePermits, nowMs: number): void {
  const valid = permits.batches.filter((batch) => nowMs < batch.expiresAtMs);
  if (valid.length === permits.batches.length) return;
  for (const { count, expiresAtMs } of permits.batches) {
    if (nowMs >= expiresAtMs) permits.expired += count;
  }
  permits.batches = valid;
}
