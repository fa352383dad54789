/**
 * Measures the processor time of a short operation.
 *
 * @module
 */

const WARM_UP_FRACTION = 0.2;
const ROUNDS = 5;

/**
 * The processor time of one call in microseconds, the sum of user and system
 * time: the median of several rounds after a warm-up.
 *
 * @example
 * ```ts
 * const us = measureProcessorUs(() => encodeFrame(message), 10_000);
 * ```
 */
export function measureProcessorUs(
  operation: () => void,
  repeats: number,
): number {
  repeat(operation, Math.ceil(repeats * WARM_UP_FRACTION));
  const roundTimesUs: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const usageBefore = process.cpuUsage();
    repeat(operation, repeats);
    const usage = process.cpuUsage(usageBefore);
    roundTimesUs.push((usage.user + usage.system) / repeats);
  }
  roundTimesUs.sort((a, b) => a - b);
  return roundTimesUs[Math.floor(ROUNDS / 2)] ?? 0;
}

function repeat(operation: () => void, count: number): void {
  for (let done = 0; done < count; done += 1) operation();
}
