/**
 * Watches the memory of the process against its limits.
 *
 * A process that runs out of memory is ended without a line of its own, so the
 * lines are written before: one when the use becomes critical, with what it
 * consists of, and one when it is normal again.
 *
 * @module
 */

import { getHeapSpaceStatistics, getHeapStatistics } from "node:v8";
import type { Logger } from "./logger.js";
import type { Metrics } from "./metrics.js";

const SAMPLE_INTERVAL_MS = 250;
/** Shares of a limit at which the use becomes critical, and normal again. */
const CRITICAL_SHARE = 0.85;
const NORMAL_SHARE = 0.75;

const BYTES_PER_MB = 1024 * 1024;
const SEMI_SPACE_COUNT = 3;
const SEMI_SPACE_OPTION = /^--max[-_]semi[-_]space[-_]size=(\d+)$/;
/** Of V8 on 64-bit processors. */
const DEFAULT_SEMI_SPACE_MB = 16;

/** Present use of memory, in bytes. */
export interface MemoryUse {
  /** Objects of the runtime that have survived collections. */
  readonly heapBytes: number;
  /** The runtime ends the process when they exceed this. */
  readonly maxHeapBytes: number;
  /** Buffers outside the heap. */
  readonly externalBytes: number;
}

export interface MemoryMonitorOptions {
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Memory of the VM. */
  readonly maxBytes: () => number;
  readonly readUse?: () => MemoryUse;
  /** What holds the memory, for the log line. */
  readonly describe?: () => Readonly<Record<string, number>>;
  /** Called when the use becomes critical, and when it is normal again. */
  readonly onCriticalChange?: (isCritical: boolean) => void;
}

/** One per process. */
export class MemoryMonitor {
  readonly #options: MemoryMonitorOptions;
  readonly #readUse: () => MemoryUse;
  #isCritical = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MemoryMonitorOptions) {
    this.#options = options;
    this.#readUse = options.readUse ?? readMemoryUse;
    const { metrics } = options;
    metrics.registerGauge("heapBytes", () => this.#readUse().heapBytes);
    metrics.registerGauge("externalBytes", () => this.#readUse().externalBytes);
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS);
    this.#timer.unref();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  sample(): void {
    const use = this.#readUse();
    const share = this.#usedShare(use);
    if (this.#isCritical ? share >= NORMAL_SHARE : share < CRITICAL_SHARE) {
      return;
    }
    this.#isCritical = !this.#isCritical;
    this.#report(use);
    this.#options.onCriticalChange?.(this.#isCritical);
  }

  /** The largest share of any limit that is used. */
  #usedShare({ heapBytes, maxHeapBytes, externalBytes }: MemoryUse): number {
    return Math.max(
      heapBytes / maxHeapBytes,
      (heapBytes + externalBytes) / this.#options.maxBytes(),
    );
  }

  #report(use: MemoryUse): void {
    const { metrics, logger, maxBytes, describe } = this.#options;
    const fields = { ...use, maxBytes: maxBytes(), ...describe?.() };
    if (this.#isCritical) {
      metrics.countEvent("memoryCritical");
      logger.warn("memoryCritical", fields);
    } else logger.info("memoryNormal", fields);
  }
}

/**
 * The runtime ends the process when the old generation exceeds its own limit.
 * `heap_size_limit` includes the young generation: a semi-space and its copies.
 */
function readMemoryUse(): MemoryUse {
  const { heap_size_limit: maxTotalBytes, external_memory: externalBytes } =
    getHeapStatistics();
  const maxYoungBytes = SEMI_SPACE_COUNT * maxSemiSpaceBytes(process.execArgv);
  const heapBytes = getHeapSpaceStatistics()
    .filter(({ space_name: name }) => !name.startsWith("new_"))
    .reduce((sum, { space_used_size: bytes }) => sum + bytes, 0);
  return {
    heapBytes,
    maxHeapBytes: maxTotalBytes - maxYoungBytes,
    externalBytes,
  };
}

function maxSemiSpaceBytes(nodeArguments: readonly string[]): number {
  const option = nodeArguments.map((text) => SEMI_SPACE_OPTION.exec(text)?.[1])
    .findLast((value) => value !== undefined);
  const megabytes = Number(option ?? DEFAULT_SEMI_SPACE_MB);
  return megabytes * BYTES_PER_MB;
}
