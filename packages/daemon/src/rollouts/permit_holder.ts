/**
 * Holds the permits of this VM for requests to a rollout's candidate.
 *
 * @module
 */

import type {
  RolloutPermitGrant,
  RolloutPermitUse,
} from "@sassafrasstage/protocol/rollouts";
import {
  choosePermit,
  type HeldPermit,
  PERMIT_TTL_MS,
} from "./held_permits.js";
import type { ExposurePermit } from "./rollout_gate.js";

/** Permits of one route that were received together. */
interface Batch extends HeldPermit {
  count: number;
}

/** By the route that the permits were granted for. */
interface RouteUse {
  used: number;
  expired: number;
}

export class PermitHolder {
  #batches: Batch[] = [];
  readonly #uses = new Map<string, RouteUse>();
  #term = "";

  /** Of the owner whose permits are held; empty before the first. */
  get term(): string {
    return this.#term;
  }

  add(
    term: string,
    grants: readonly RolloutPermitGrant[],
    receivedAtMs: number,
  ): void {
    if (term !== this.#term) {
      // The owner before takes its permits as used.
      this.#batches = [];
      this.#uses.clear();
      this.#term = term;
    }
    for (const { route, count } of grants) {
      if (count > 0) this.#batches.push({ route, count, receivedAtMs });
    }
  }

  /** Permits that requests of the route may use now. */
  count(route: string, nowMs: number): number {
    this.#expire(nowMs);
    return this.#batches.reduce((sum, batch) => {
      const isUsable = choosePermit([batch], route, nowMs) !== undefined;
      return isUsable ? sum + batch.count : sum;
    }, 0);
  }

  take(route: string, nowMs: number): ExposurePermit | undefined {
    this.#expire(nowMs);
    const batch = choosePermit(this.#batches, route, nowMs);
    if (batch === undefined) return undefined;
    batch.count -= 1;
    if (batch.count === 0) {
      this.#batches = this.#batches.filter((other) => other !== batch);
    }
    const use = this.#useOf(batch.route);
    use.used += 1;
    let isGivenBack = false;
    return {
      expiresAtMs: batch.receivedAtMs + PERMIT_TTL_MS,
      giveBack: () => {
        if (isGivenBack) return;
        isGivenBack = true;
        use.used -= 1;
        use.expired += 1;
      },
    };
  }

  /** Ends all permits; they count as expired. */
  expireAll(): void {
    this.#expire(Infinity);
  }

  use(nowMs: number): RolloutPermitUse[] {
    this.#expire(nowMs);
    return [...this.#uses].map(([route, { used, expired }]) => ({
      route,
      used,
      expired,
    }));
  }

  #expire(nowMs: number): void {
    const valid = this.#batches.filter(({ receivedAtMs }) =>
      nowMs - receivedAtMs < PERMIT_TTL_MS
    );
    if (valid.length === this.#batches.length) return;
    for (const batch of this.#batches) {
      if (!valid.includes(batch)) {
        this.#useOf(batch.route).expired += batch.count;
      }
    }
    this.#batches = valid;
  }

  #useOf(route: string): RouteUse {
    const known = this.#uses.get(route);
    if (known !== undefined) return known;
    const use = { used: 0, expired: 0 };
    this.#uses.set(route, use);
    return use;
  }
}
