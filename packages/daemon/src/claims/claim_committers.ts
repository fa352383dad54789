/**
 * The committers of all partitions, created on first use.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { Settings } from "../settings/settings.js";
import type { IsAbandoned } from "./apply_operations.js";
import { partitionOf } from "./claim_hash.js";
import type { LayoutStore } from "./claim_layout.js";
import {
  type Operation,
  type OperationResult,
  UNAVAILABLE,
} from "./claim_operation.js";
import { BatchRateLimiter } from "./batch_rate_limiter.js";
import { PartitionCommitter } from "./partition_committer.js";
import { PartitionStore } from "./partition_store.js";

export interface ClaimCommittersOptions {
  readonly settings: Settings["claims"];
  readonly store: ObjectStore;
  readonly layout: LayoutStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly isAbandoned: IsAbandoned;
}

/** For this long after a failure, peers are tried before the platform. */
const UNREACHABLE_MS = 500;

/** Commits operations on any partition from this process. */
export class ClaimCommitters {
  readonly #options: ClaimCommittersOptions;
  #unreachableUntilMs = Number.NEGATIVE_INFINITY;
  readonly #committers = new Map<number, PartitionCommitter>();

  constructor(options: ClaimCommittersOptions) {
    this.#options = options;
  }

  /**
   * Whether the platform counts as reachable: false for `UNREACHABLE_MS` after an
   * operation failed or took too long, unless another one succeeds sooner.
   */
  isReachable(nowMs: number): boolean {
    return nowMs >= this.#unreachableUntilMs;
  }

  markUnreachable(nowMs: number): void {
    this.#unreachableUntilMs = nowMs + UNREACHABLE_MS;
  }

  /** Never rejects; any failure resolves to "unavailable". */
  async submit(operation: Operation): Promise<OperationResult> {
    const result = await this.#submit(operation);
    const nowMs = this.#options.clock.nowMs();
    if (result.kind !== "unavailable") {
      this.#unreachableUntilMs = Number.NEGATIVE_INFINITY;
    } else if (nowMs < operation.expiresAtMs) {
      this.markUnreachable(nowMs);
    }
    return result;
  }

  async #submit(operation: Operation): Promise<OperationResult> {
    try {
      const partitions = await this.#options.layout.partitions();
      const partition = partitionOf(operation.hash, partitions);
      return await this.#committerOf(partition, partitions).submit(operation);
    } catch (error) {
      this.#options.logger.warn("claimLayoutUnavailable", {
        detail: error instanceof Error ? error.message : String(error),
      });
      return UNAVAILABLE;
    }
  }

  #committerOf(partition: number, partitions: number): PartitionCommitter {
    const existing = this.#committers.get(partition);
    if (existing !== undefined) return existing;
    const { settings, store, layout } = this.#options;
    const committer = new PartitionCommitter({
      ...this.#options,
      store: new PartitionStore({ partition, store, layout }),
      rateLimiter: new BatchRateLimiter({ settings, partitions }),
    });
    this.#committers.set(partition, committer);
    return committer;
  }
}
