/**
 * Gathers the operations on one partition and commits them together. One task
 * runs while there are operations, so that one write is under way at a time.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../clock.js";
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
import type { GatherPacer } from "./gather_pacer.js";
import {
  type HeadState,
  isHeadLarge,
  type PartitionStore,
} from "./partition_store.js";

/** Updates of one batch that may conflict before it is given up. */
const MAX_TRIES = 10;
/** With a head of `MAX_HEAD_BYTES` it stays well below a megabyte. */
const MAX_BATCH_BYTES = 400_000;
const MIN_CONFLICT_WAIT_MS = 2;

export interface PartitionCommitterOptions {
  readonly store: PartitionStore;
  readonly pacer: GatherPacer;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly isAbandoned: IsAbandoned;
}

interface Waiting {
  readonly operation: Operation;
  readonly resolve: (result: OperationResult) => void;
}

/** Commits the operations of one partition from this process. */
export class PartitionCommitter {
  readonly #options: PartitionCommitterOptions;
  #queue: Waiting[] = [];
  #isRunning = false;

  constructor(options: PartitionCommitterOptions) {
    this.#options = options;
  }

  /** Never rejects; "unavailable" is the answer to every failure. */
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
      await sleep(this.#options.pacer.takeDelayMs(nowMs));
      const batch = this.#dropExpired(this.#takeBatch());
      if (batch.length === 0) continue;
      await this.#commitOrFail(batch);
    }
    this.#isRunning = false;
  }

  #takeBatch(): Waiting[] {
    let bytes = 0;
    let count = 0;
    for (const { operation } of this.#queue) {
      bytes += byteSizeOf(operation);
      if (count > 0 && bytes > MAX_BATCH_BYTES) break;
      count++;
    }
    return this.#queue.splice(0, count);
  }

  #dropExpired(batch: readonly Waiting[]): Waiting[] {
    const nowMs = this.#options.clock.nowMs();
    return batch.filter((waiting) => {
      if (waiting.operation.expiresAtMs > nowMs) return true;
      waiting.resolve(UNAVAILABLE);
      return false;
    });
  }

  async #commitOrFail(batch: readonly Waiting[]): Promise<void> {
    const { metrics } = this.#options;
    try {
      await this.#commit(batch);
    } catch (error) {
      if (
        !(error instanceof PlatformError || error instanceof ClaimStoreError)
      ) {
        throw error;
      }
      this.#options.store.forgetHead();
      metrics.countEvent(`claimCommitFailed.${error.name}`);
      // Those that were answered before keep their answer.
      for (const waiting of batch) waiting.resolve(UNAVAILABLE);
    }
  }

  async #commit(batch: readonly Waiting[]): Promise<void> {
    const { store, metrics } = this.#options;
    let rest = batch;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const remembered = attempt === 0 ? store.rememberedHead : undefined;
      const head = remembered ?? await store.readHead();
      if (isHeadLarge(head)) {
        metrics.countEvent("claimSegmentCut");
        await this.#tolerateLostAnswer(store.cutSegment(head));
        continue;
      }
      rest = await this.#settleOldOnes(head, rest);
      const isDone = await this.#commitToHead(head, rest, {
        isFresh: remembered === undefined,
      });
      if (isDone) return;
      rest = this.#dropExpired(rest);
      if (rest.length === 0) return;
      await waitAfterConflict(attempt);
    }
    metrics.countEvent("claimConflictsUnresolved");
    for (const waiting of rest) waiting.resolve(UNAVAILABLE);
  }

  /** False when the batch has to be tried again on a fresh head. */
  async #commitToHead(
    head: HeadState,
    batch: readonly Waiting[],
    knowledge: { readonly isFresh: boolean },
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
      const isUpdated = await this.#tolerateLostAnswer(
        store.updateHead(head, { segments, records }),
      );
      if (!isUpdated) return false;
    } else if (!knowledge.isFresh) {
      store.forgetHead();
      return false;
    }
    metrics.countEvent("claimOperation", batch.length);
    for (const [index, waiting] of batch.entries()) {
      waiting.resolve(applied.results[index] ?? UNAVAILABLE);
    }
    return true;
  }

  /** After a lost answer the batch is applied again to what is read back. */
  async #tolerateLostAnswer(update: Promise<boolean>): Promise<boolean> {
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

  /** Answers the operations whose claim is in a segment; returns the others. */
  async #settleOldOnes(
    head: HeadState,
    batch: readonly Waiting[],
  ): Promise<Waiting[]> {
    const rest: Waiting[] = [];
    for (const waiting of batch) {
      const { operation } = waiting;
      const result = head.records.has(operation.hash)
        ? undefined
        : await this.#applyToSegment(head, operation);
      if (result === undefined) rest.push(waiting);
      else waiting.resolve(result);
    }
    return rest;
  }

  /** `undefined` when no segment has the key. */
  async #applyToSegment(
    head: HeadState,
    operation: Operation,
  ): Promise<OperationResult | undefined> {
    const { store } = this.#options;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const found = await store.findSegment(head, operation.hash);
      if (found === undefined) return undefined;
      const changed = changeSegment(found.segment, operation, {
        isAbandoned: this.#options.isAbandoned,
      });
      if (changed.records === undefined) return changed.result;
      const isUpdated = await this.#tolerateLostAnswer(
        store.updateSegment(found, { records: changed.records }),
      );
      // An abandoned claim is taken out first; the head takes the new one.
      if (isUpdated) {
        return operation.kind === "claim" ? undefined : changed.result;
      }
      await waitAfterConflict(attempt);
    }
    return UNAVAILABLE;
  }
}

/** Longer each time, and different in each process. */
async function waitAfterConflict(attempt: number): Promise<void> {
  await sleep(Math.random() * MIN_CONFLICT_WAIT_MS * 2 ** attempt);
}
