/**
 * Commits the operations on one partition in batches. A single task processes
 * the queue, so that only one write is in flight at a time.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import { PlatformError } from "../platform/platform_error.js";
import { applyOperations, type IsAbandoned } from "./apply_operations.js";
import { changeSegment } from "./change_segment.js";
import {
  type Operation,
  type OperationResult,
  UNAVAILABLE,
} from "./claim_operation.js";
import { byteSizeOf, ClaimStoreError } from "./claim_objects.js";
import type { BatchRateLimiter } from "./batch_rate_limiter.js";
import {
  type HeadState,
  isHeadLarge,
  type PartitionStore,
} from "./partition_store.js";

/** Attempts to commit a batch or to update a segment before giving up. */
const MAX_ATTEMPTS = 10;
/**
 * Together with a head of `MAX_HEAD_BYTES` this is well below 1 MB, the
 * platform's limit for an object.
 */
const MAX_BATCH_BYTES = 400_000;
const CONFLICT_BACKOFF_BASE_MS = 2;

export interface PartitionCommitterOptions {
  readonly store: PartitionStore;
  readonly rateLimiter: BatchRateLimiter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly isAbandoned: IsAbandoned;
}

interface WaitingOperation {
  readonly operation: Operation;
  readonly resolve: (result: OperationResult) => void;
}

/** Commits the operations of one partition from this process. */
export class PartitionCommitter {
  readonly #options: PartitionCommitterOptions;
  #queue: WaitingOperation[] = [];
  #isRunning = false;

  constructor(options: PartitionCommitterOptions) {
    this.#options = options;
  }

  /** Never rejects; any failure resolves to "unavailable". */
  submit(operation: Operation): Promise<OperationResult> {
    return new Promise((resolve) => {
      this.#queue.push({ operation, resolve });
      if (!this.#isRunning) void this.#run();
    });
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    while (this.#queue.length > 0) {
      const nowMs = this.#options.clock.nowMs();
      await sleep(this.#options.rateLimiter.reserveDelayMs(nowMs));
      const batch = this.#dropExpired(this.#takeBatch());
      if (batch.length === 0) continue;
      await this.#commitOrFail(batch);
    }
    this.#isRunning = false;
  }

  #takeBatch(): WaitingOperation[] {
    let bytes = 0;
    let count = 0;
    for (const { operation } of this.#queue) {
      bytes += byteSizeOf(operation);
      if (count > 0 && bytes > MAX_BATCH_BYTES) break;
      count++;
    }
    return this.#queue.splice(0, count);
  }

  #dropExpired(batch: readonly WaitingOperation[]): WaitingOperation[] {
    const nowMs = this.#options.clock.nowMs();
    return batch.filter((waiting) => {
      if (waiting.operation.expiresAtMs > nowMs) return true;
      waiting.resolve(UNAVAILABLE);
      return false;
    });
  }

  async #commitOrFail(batch: readonly WaitingOperation[]): Promise<void> {
    const { metrics, logger } = this.#options;
    try {
      await this.#commit(batch);
    } catch (error) {
      this.#options.store.clearCachedHead();
      const name = error instanceof Error ? error.name : "unknown";
      metrics.countEvent(`claimCommitFailed.${name}`);
      if (
        !(error instanceof PlatformError || error instanceof ClaimStoreError)
      ) {
        logger.error("claimCommitFailed", {
          error: String(error),
          operations: batch.length,
        });
      }
      // Has no effect on operations that are already resolved.
      for (const waiting of batch) waiting.resolve(UNAVAILABLE);
    }
  }

  async #commit(batch: readonly WaitingOperation[]): Promise<void> {
    const { store, metrics } = this.#options;
    let rest = batch;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const cachedHead = attempt === 0 ? store.cachedHead : undefined;
      const head = cachedHead ?? await store.readHead();
      if (isHeadLarge(head)) {
        metrics.countEvent("claimSegmentCut");
        await this.#tolerateLostResponse(store.splitHead(head));
        continue;
      }
      rest = await this.#commitToSegments(head, rest);
      const isDone = await this.#commitToHead(head, rest, {
        isFresh: cachedHead === undefined,
      });
      if (isDone) return;
      rest = this.#dropExpired(rest);
      if (rest.length === 0) return;
      await waitAfterConflict(attempt);
    }
    metrics.countEvent("claimConflictsUnresolved");
    for (const waiting of rest) waiting.resolve(UNAVAILABLE);
  }

  /** Resolves to false if the batch must be retried with a fresh head. */
  async #commitToHead(
    head: HeadState,
    batch: readonly WaitingOperation[],
    headInfo: { readonly isFresh: boolean },
  ): Promise<boolean> {
    const { store, metrics, isAbandoned } = this.#options;
    const applied = applyOperations(
      batch.map((waiting) => waiting.operation),
      { records: head.records, isAbandoned },
    );
    if (applied.isChanged) {
      const { segments } = head;
      const { records } = applied;
      metrics.countEvent("claimWrite");
      const isUpdated = await this.#tolerateLostResponse(
        store.updateHead(head, { segments, records }),
      );
      if (!isUpdated) return false;
    } else if (!headInfo.isFresh) {
      store.clearCachedHead();
      return false;
    }
    metrics.countEvent("claimOperation", batch.length);
    for (const [index, waiting] of batch.entries()) {
      waiting.resolve(applied.results[index] ?? UNAVAILABLE);
    }
    return true;
  }

  /**
   * Resolves to false after a conflict and after a lost response; the caller
   * then applies the batch again to the state that it reads back.
   */
  async #tolerateLostResponse(update: Promise<boolean>): Promise<boolean> {
    try {
      const isUpdated = await update;
      if (!isUpdated) this.#options.metrics.countEvent("claimConflict");
      return isUpdated;
    } catch (error) {
      if (
        !(error instanceof PlatformError && error.kind === "outcomeUnknown")
      ) {
        throw error;
      }
      this.#options.metrics.countEvent("claimAnswerLost");
      return false;
    }
  }

  /** Commits the operations with a claim in a segment; returns the others. */
  async #commitToSegments(
    head: HeadState,
    batch: readonly WaitingOperation[],
  ): Promise<WaitingOperation[]> {
    const rest: WaitingOperation[] = [];
    for (const waiting of batch) {
      const { operation } = waiting;
      const result = head.records.has(operation.hash)
        ? undefined
        : await this.#commitToSegment(head, operation);
      if (result === undefined) rest.push(waiting);
      else waiting.resolve(result);
    }
    return rest;
  }

  /** Resolves to `undefined` if the operation is to be applied to the head. */
  async #commitToSegment(
    head: HeadState,
    operation: Operation,
  ): Promise<OperationResult | undefined> {
    const { store } = this.#options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const found = await store.findSegment(head, operation.hash);
      if (found === undefined) return undefined;
      const changed = changeSegment(found.segment, operation, {
        isAbandoned: this.#options.isAbandoned,
      });
      if (changed.records === undefined) return changed.result;
      const isUpdated = await this.#tolerateLostResponse(
        store.updateSegment(found, { records: changed.records }),
      );
      // The abandoned claim is removed; the new one is added to the head.
      if (isUpdated) {
        return operation.kind === "claim" ? undefined : changed.result;
      }
      await waitAfterConflict(attempt);
    }
    return UNAVAILABLE;
  }
}

/** Exponential backoff with jitter. */
async function waitAfterConflict(attempt: number): Promise<void> {
  await sleep(Math.random() * CONFLICT_BACKOFF_BASE_MS * 2 ** attempt);
}
