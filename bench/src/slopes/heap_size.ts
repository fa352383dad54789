/**
 * Measures the memory that a value retains.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const WARM_UP_ROUNDS = 3;

/**
 * The heap and external bytes that the created value retains.
 *
 * @example
 * ```ts
 * const bytes = measureHeapBytes(() => new Map(entries));
 * ```
 */
export function measureHeapBytes(create: () => unknown): number {
  const collectGarbage = exposeGarbageCollector();
  // The first runs also allocate compiled code and caches.
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    create();
    collectGarbage();
  }
  const beforeBytes = getUsedBytes();
  const held = [create()];
  collectGarbage();
  const afterBytes = getUsedBytes();
  held.length = 0;
  return afterBytes - beforeBytes;
}

function getUsedBytes(): number {
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
