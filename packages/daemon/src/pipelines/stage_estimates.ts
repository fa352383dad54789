/**
 * Estimates stage durations from recent calls, for deadline planning.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { PipelineName, StageName } from "@sassafrasstage/protocol/ids";

const WINDOW_MS = 10_000;
const REFRESH_MS = 250;
const MIN_SAMPLES = 5;
const MAX_RECORDED_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const LIKELY_PERCENTILE = 75;
const SLOW_PERCENTILE = 95;

/** Identifies one stage of a pipeline. */
export interface StageRef {
  readonly pipeline: PipelineName;
  readonly stage: StageName;
}

interface StageWindow {
  current: Histogram;
  previous: Histogram;
  startedAtMs: number;
  likelyMs: number;
  slowMs: number;
  refreshedAtMs: number;
}

/**
 * Keeps two rotating windows of durations for each stage. A stage that has not
 * run for two windows has no estimate, so that an old slow period can't cause
 * requests to be refused indefinitely.
 *
 * @example
 * ```ts
 * estimates.record({ pipeline, stage }, durationMs, nowMs);
 * estimates.likelyMs({ pipeline, stage }, nowMs);
 * ```
 */
export class StageEstimates {
  readonly #windows = new Map<string, StageWindow>();

  record(ref: StageRef, durationMs: number, nowMs: number): void {
    const window = this.#windowOf(ref, nowMs);
    window.current.recordValue(
      Math.min(MAX_RECORDED_MS, Math.round(durationMs)),
    );
  }

  /** The 75th percentile; 0 if there are too few samples. */
  likelyMs(ref: StageRef, nowMs: number): number {
    return this.#refreshedWindowOf(ref, nowMs).likelyMs;
  }

  /** The 95th percentile; 0 if there are too few samples. */
  slowMs(ref: StageRef, nowMs: number): number {
    return this.#refreshedWindowOf(ref, nowMs).slowMs;
  }

  #refreshedWindowOf(ref: StageRef, nowMs: number): StageWindow {
    const window = this.#windowOf(ref, nowMs);
    if (nowMs - window.refreshedAtMs < REFRESH_MS) return window;
    window.likelyMs = percentileOf(window, LIKELY_PERCENTILE);
    window.slowMs = percentileOf(window, SLOW_PERCENTILE);
    window.refreshedAtMs = nowMs;
    return window;
  }

  #windowOf(ref: StageRef, nowMs: number): StageWindow {
    const key = `${ref.pipeline}/${ref.stage}`;
    let window = this.#windows.get(key);
    if (window === undefined) {
      window = makeWindow(nowMs);
      this.#windows.set(key, window);
    }
    rotate(window, nowMs);
    return window;
  }
}

function makeHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function makeWindow(nowMs: number): StageWindow {
  return {
    current: makeHistogram(),
    previous: makeHistogram(),
    startedAtMs: nowMs,
    likelyMs: 0,
    slowMs: 0,
    refreshedAtMs: Number.NEGATIVE_INFINITY,
  };
}

function rotate(window: StageWindow, nowMs: number): void {
  const ageMs = nowMs - window.startedAtMs;
  if (ageMs < WINDOW_MS) return;
  const recycled = window.previous;
  window.previous = window.current;
  window.current = recycled;
  window.current.reset();
  if (ageMs >= 2 * WINDOW_MS) window.previous.reset();
  window.startedAtMs = nowMs;
}

function percentileOf(window: StageWindow, percentile: number): number {
  if (window.current.totalCount >= MIN_SAMPLES) {
    return window.current.getValueAtPercentile(percentile);
  }
  if (window.previous.totalCount >= MIN_SAMPLES) {
    return window.previous.getValueAtPercentile(percentile);
  }
  return 0;
}
