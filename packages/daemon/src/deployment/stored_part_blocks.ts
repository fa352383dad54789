/**
 * Blocked prompt parts as objects of the platform, one for each part.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { SuspectId } from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { PartBlock, PartBlocks } from "../poison_parts/part_blocks.js";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";
import { type EraChange, ObjectMirror } from "./object_mirror.js";

export interface StoredPartBlocksOptions {
  readonly store: ObjectStore;
  readonly objectFormat: DeploymentObjectFormat;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onEraChanged?: (change: EraChange) => void;
}

type Change =
  | { readonly kind: "publish"; readonly block: PartBlock }
  | { readonly kind: "withdraw"; readonly part: SuspectId };

type Progress = "done" | "conflict";

/** Further blocks aren't stored; far more than crash servers at one time. */
const MAX_BLOCKS = 64;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 3200;
const MAX_TRIES = 20;
/** Before VMs drop what the store lacks. */
const MAX_RESTORATION_DELAY_MS = 1500;

export class StoredPartBlocks implements PartBlocks {
  /** The stored blocks; the owner keeps it up to date. */
  readonly mirror: ObjectMirror;
  readonly #options: StoredPartBlocksOptions;
  readonly #listeners: ((blocks: readonly PartBlock[]) => void)[] = [];
  /** The latest change of each part that isn't stored yet. */
  readonly #changes = new Map<SuspectId, Change>();
  readonly #writing = new Set<SuspectId>();
  #isClosed = false;

  constructor(options: StoredPartBlocksOptions) {
    this.#options = options;
    const notify = (): void => {
      this.#notify();
    };
    this.mirror = new ObjectMirror(options.objectFormat.partBlocksPrefix, {
      onUpdated: (object) => {
        this.#recordIfUnreadable(object);
        notify();
      },
      onDeleted: notify,
      onEraChanged: (change) => options.onEraChanged?.(change),
    });
  }

  publish(block: PartBlock): void {
    this.#change(block.part, { kind: "publish", block });
  }

  withdraw(part: SuspectId): void {
    this.#change(part, { kind: "withdraw", part });
  }

  onChanged(listener: (blocks: readonly PartBlock[]) => void): void {
    this.#listeners.push(listener);
    listener(this.#blocks());
  }

  /**
   * Stores the blocks again that the store lacks since it came back from an
   * older copy, unless another VM does.
   */
  async restoreUnconfirmed(): Promise<void> {
    // Most VMs then find the blocks stored already.
    await sleep(MAX_RESTORATION_DELAY_MS * Math.random());
    for (const object of this.mirror.objects) {
      const block = this.#read(object);
      if (block === undefined) continue;
      if (this.mirror.confirmed(object.key) !== undefined) continue;
      this.#options.metrics.countEvent("partBlockRestored");
      this.publish(block);
    }
  }

  /** Ends all retries. */
  close(): void {
    this.#isClosed = true;
  }

  #blocks(): PartBlock[] {
    return this.mirror.objects.flatMap((object) => {
      const block = this.#read(object);
      return block === undefined ? [] : [block];
    }).slice(0, MAX_BLOCKS);
  }

  #notify(): void {
    const blocks = this.#blocks();
    for (const listener of this.#listeners) listener(blocks);
  }

  #read(object: StoredObject | undefined): PartBlock | undefined {
    if (object === undefined) return undefined;
    const result = this.#options.objectFormat.readPartBlock(object);
    return result.kind === "value" ? result.value : undefined;
  }

  #recordIfUnreadable(object: StoredObject): void {
    const { objectFormat, metrics, logger } = this.#options;
    const result = objectFormat.readPartBlock(object);
    if (result.kind === "value") return;
    metrics.countEvent("unreadableObject");
    logger.warn("unreadableObject", {
      key: object.key,
      revision: object.version,
      detail: result.detail,
    });
  }

  #change(part: SuspectId, change: Change): void {
    this.#changes.set(part, change);
    if (this.#writing.has(part)) return;
    this.#writing.add(part);
    void this.#writeChanges(part);
  }

  /** Stores the changes of a part until none is left. */
  async #writeChanges(part: SuspectId): Promise<void> {
    for (;;) {
      const change = this.#changes.get(part);
      if (change === undefined || this.#isClosed) break;
      await this.#store(part, change);
      // Not if another change of the part has come meanwhile.
      if (this.#changes.get(part) === change) this.#changes.delete(part);
    }
    this.#writing.delete(part);
  }

  async #store(part: SuspectId, change: Change): Promise<void> {
    const { metrics, logger, objectFormat } = this.#options;
    const key = objectFormat.partBlockKey(part);
    let stored = this.mirror.confirmed(key);
    let isReadBack = false;
    let lastError = "";
    for (let tries = 1; tries <= MAX_TRIES; tries++) {
      if (this.#isClosed || this.#changes.get(part) !== change) return;
      try {
        if (isReadBack || change.kind === "withdraw") {
          stored = await this.#options.store.read(key);
        }
        // After an error too, as the call may have taken effect.
        isReadBack = true;
        if (await this.#write(key, change, stored) === "done") return;
        lastError = "conflict";
      } catch (error) {
        metrics.countEvent("platformCallFailed");
        lastError = String(error);
      }
      await sleep(retryDelayMs(tries));
    }
    metrics.countEvent("partBlockNotStored");
    logger.warn("partBlockNotStored", {
      part,
      change: change.kind,
      key,
      tries: MAX_TRIES,
      error: lastError,
    });
  }

  async #write(
    key: string,
    change: Change,
    stored: StoredObject | undefined,
  ): Promise<Progress> {
    switch (change.kind) {
      case "publish":
        return this.#writeBlock(key, change.block, stored);
      case "withdraw":
        return this.#removeBlock(key, change.part, stored);
    }
  }

  async #writeBlock(
    key: string,
    block: PartBlock,
    stored: StoredObject | undefined,
  ): Promise<Progress> {
    const { store, objectFormat, logger, metrics } = this.#options;
    const storedBlock = this.#read(stored);
    if (storedBlock !== undefined && includes(storedBlock, block)) {
      return "done";
    }
    if (stored === undefined && this.mirror.objects.length >= MAX_BLOCKS) {
      metrics.countEvent("partBlockNotStored");
      logger.warn("partBlockNotStored", { part: block.part, key, full: true });
      return "done";
    }
    const newBlock = combine(storedBlock, block);
    const result = await store.update(
      key,
      objectFormat.partBlockValue(newBlock),
      stored === undefined
        ? { kind: "absent" }
        : { kind: "version", version: stored.version },
    );
    if (result.kind === "conflict") return "conflict";
    logger.info("partBlockStored", {
      part: block.part,
      key,
      revision: result.version,
      crashes: newBlock.crashes,
      failedProbes: newBlock.failedProbes,
    });
    return "done";
  }

  async #removeBlock(
    key: string,
    part: SuspectId,
    stored: StoredObject | undefined,
  ): Promise<Progress> {
    if (stored === undefined) return "done";
    const { store, logger } = this.#options;
    const result = await store.remove(key, stored.version);
    // Another VM has seen a crash since: its block holds.
    const event = result.kind === "conflict"
      ? "partBlockKept"
      : "partBlockRemoved";
    logger.info(event, { part, key, revision: stored.version });
    return "done";
  }
}

/** Whether storing the other block would change nothing. */
function includes(stored: PartBlock, other: PartBlock): boolean {
  return stored.crashes >= other.crashes &&
    stored.failedProbes >= other.failedProbes;
}

/** Two VMs may have counted different crashes of the same part. */
function combine(stored: PartBlock | undefined, block: PartBlock): PartBlock {
  if (stored === undefined) return block;
  return {
    ...block,
    crashes: Math.max(stored.crashes, block.crashes),
    failedProbes: Math.max(stored.failedProbes, block.failedProbes),
  };
}

/** With jitter, so that VMs in conflict don't all retry at once. */
function retryDelayMs(tries: number): number {
  const delayMs = Math.min(
    MAX_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** (tries - 1),
  );
  return delayMs * (0.5 + Math.random());
}
