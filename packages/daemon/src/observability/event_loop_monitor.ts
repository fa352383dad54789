/**
 * Measures how late the event loop runs. A late loop reads requests, messages
 * of peers and answers of servers late by as much.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "./logger.js";
import type { Metrics } from "./metrics.js";

export const SAMPLE_INTERVAL_MS = 250;
/** A delay of a quarter of a second is noticeable to callers and peers. */
const REPORTED_DELAY_MS = 250;

export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Called at each sample with how late the event loop ran. */
  readonly onSample?: (delayMs: number, nowMs: number) => void;
}

/** One per process. */
export class EventLoopMonitor {
  readonly #options: EventLoopMonitorOptions;
  #expectedAtMs: number;
  #timer: NodeJS.Timeout | undefined;
  /** Largest delay since the gauge was last read. */
  #maxDelayMs = 0;

  constructor(options: EventLoopMonitorOptions) {
    this.#options = options;
    this.#expectedAtMs = options.clock.nowMs() + SAMPLE_INTERVAL_MS;
    options.metrics.registerGauge("eventLoopDelayMs", () => {
      const maxDelayMs = this.#maxDelayMs;
      this.#maxDelayMs = 0;
      return maxDelayMs;
    });
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

  /** Compares the present time with the time at which this call was due. */
  sample(): void {
    const { clock, metrics, logger } = this.#options;
    const nowMs = clock.nowMs();
    const delayMs = Math.max(0, nowMs - this.#expectedAtMs);
    this.#expectedAtMs = nowMs + SAMPLE_INTERVAL_MS;
    this.#maxDelayMs = Math.max(this.#maxDelayMs, delayMs);
    this.#options.onSample?.(delayMs, nowMs);
    if (delayMs < REPORTED_DELAY_MS) return;
    metrics.countEvent("eventLoopDelayed");
    logger.warn("eventLoopDelayed", { delayMs: Math.round(delayMs) });
  }
}
