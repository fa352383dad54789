/**
 * Measures the memory that a value holds.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const WARM_UP_ROUNDS = 3;

/**
 * The heap and buffer bytes that a made value keeps from being freed.
 *
 * @example
 * ```ts
 * const bytes = measureHeapBytes(() => new Map(entries));
 * ```
 */
export function measureHeapBytes(make: () => unknown): number {
  const collect = exposeCollector();
  // The first values leave compiled code and caches behind.
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    make();
    collect();
  }
  const beforeBytes = usedBytes();
  const held = [make()];
  collect();
  const afterBytes = usedBytes();
  held.length = 0;
  return afterBytes - beforeBytes;
}

function usedBytes(): number {
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
}

function exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
