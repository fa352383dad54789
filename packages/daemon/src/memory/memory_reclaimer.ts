/**
 * Collects garbage before the runtime would, where the VM's memory is small.
 *
 * Load pattern: the runtime lets buffers that nobody refers to any more grow by
 * 64 MB and more before it collects them, whatever the memory of the VM. Many
 * bodies and responses that are given up at once leave as much.
 *
 * @module
 */

import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

export type CollectionKind = "minor" | "major";

export interface MemoryReclaimerOptions {
  /** Buffers beyond those that are in use, until they are collected. */
  readonly maxGarbageBytes: number;
  /** Buffers that are in use. */
  readonly heldBytes: () => number;
  readonly nowMs: () => number;
  /** Called when a collection that isn't a minor one has ended. */
  readonly onMajorCollection?: () => void;
  readonly readExternalBytes?: () => number;
  readonly collect?: (kind: CollectionKind) => void;
}

/** After a collection, none starts for this many times its duration. */
const PAUSE_FACTOR = 4;
const CHECK_INTERVAL_MS = 100;

/**
 * One per process.
 *
 * @example
 * ```ts
 * const reclaimer = new MemoryReclaimer({ maxGarbageBytes, heldBytes, nowMs });
 * reclaimer.start();
 * ```
 */
export class MemoryReclaimer {
  readonly #options: MemoryReclaimerOptions;
  readonly #readExternalBytes: () => number;
  readonly #collect: (kind: CollectionKind) => void;
  #nextAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MemoryReclaimerOptions) {
    this.#options = options;
    this.#readExternalBytes = options.readExternalBytes ?? readExternalBytes;
    this.#collect = options.collect ?? collectGarbage;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** To be called at regular intervals and when much was allocated. */
  check(): void {
    if (!this.#isTooMuch() || this.#options.nowMs() < this.#nextAtMs) return;
    const startedAtMs = this.#options.nowMs();
    this.#collect("minor");
    if (this.#isTooMuch()) {
      this.#collect("major");
      this.#options.onMajorCollection?.();
    }
    const endedAtMs = this.#options.nowMs();
    this.#nextAtMs = endedAtMs + PAUSE_FACTOR * (endedAtMs - startedAtMs);
  }

  #isTooMuch(): boolean {
    const unheldBytes = this.#readExternalBytes() - this.#options.heldBytes();
    return unheldBytes >= this.#options.maxGarbageBytes;
  }
}

function readExternalBytes(): number {
  return getHeapStatistics().external_memory;
}

let runtimeCollect: ((options: { type: CollectionKind }) => void) | undefined;

/** The runtime offers the function only to contexts made after the flag is set. */
function collectGarbage(type: CollectionKind): void {
  if (runtimeCollect === undefined) {
    setFlagsFromString("--expose-gc");
    runtimeCollect = runInNewContext("gc") as typeof runtimeCollect;
    setFlagsFromString("--no-expose-gc");
  }
  runtimeCollect?.({ type });
}
