/**
 * Grants requests to servers with a rate limit, for the servers that this VM
 * owns.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@sassafrasstage/protocol/ids";
import type { LimitOwners } from "./limit_owners.js";
import { TokenBucket } from "./token_bucket.js";

export type RateDecision =
  | { readonly kind: "granted" }
  | { readonly kind: "denied"; readonly retryAfterMs: number };

/**
 * Even a server that states a lower rate gets requests at this rate, because
 * only a response shows that its limit has ended.
 */
const MIN_RATE_PER_SECOND = 0.1;
/** Time within which VMs learn of a change of the membership. */
const NOT_OWNER_RETRY_MS = 100;

export class RateLimitOwner {
  readonly #self: VmId;
  readonly #owners: LimitOwners;
  readonly #buckets = new Map<BackendServerId, TokenBucket>();

  constructor(self: VmId, owners: LimitOwners) {
    this.#self = self;
    this.#owners = owners;
  }

  isOwner(id: BackendServerId, nowMs: number): boolean {
    return this.#owners.ownerOf(id, nowMs) === this.#self;
  }

  /** Decides on one request to the server. */
  decide(
    id: BackendServerId,
    requestsPerSecond: number,
    nowMs: number,
  ): RateDecision {
    if (!this.isOwner(id, nowMs)) {
      return { kind: "denied", retryAfterMs: NOT_OWNER_RETRY_MS };
    }
    let bucket = this.#buckets.get(id);
    if (bucket === undefined) {
      bucket = new TokenBucket(nowMs);
      this.#buckets.set(id, bucket);
    }
    const rate = Math.max(MIN_RATE_PER_SECOND, requestsPerSecond) *
      this.#owners.share(nowMs);
    const result = bucket.take(rate, nowMs);
    return result.kind === "taken"
      ? { kind: "granted" }
      : { kind: "denied", retryAfterMs: result.availableInMs };
  }

  /** Drops the state of servers that this VM doesn't own any more. */
  releaseFormerServers(nowMs: number): void {
    for (const id of [...this.#buckets.keys()]) {
      if (!this.isOwner(id, nowMs)) this.#buckets.delete(id);
    }
  }

  forget(id: BackendServerId): void {
    this.#buckets.delete(id);
  }
}
