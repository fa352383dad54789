/**
 * Time and cost by stage since the start of the process, for `/metrics`.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

const LONGEST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_IN_MS = 1000;
const MICROSECONDS_IN_SECOND = 1_000_000;
const PERCENTILES = [50, 95, 99] as const;

/** One finished stage or request. */
export interface LatencySample {
  readonly pipeline: string;
  /** A stage's name, or "whole" for the request. */
  readonly stage: string;
  readonly durationMs: number;
  /** The part that a backend server's call took. */
  readonly callMs: number;
  readonly tokens: number;
}

interface LatencyRecord {
  readonly pipeline: string;
  readonly stage: string;
  readonly durations: Histogram;
  readonly overheads: Histogram;
  durationSumMs: number;
  callSumMs: number;
  tokenSum: number;
}

/**
 * Gathers samples and prints them in the Prometheus text form.
 *
 * @example
 * ```ts
 * latencies.record({ pipeline, stage, durationMs, callMs, tokens: 0 });
 * response.end(latencies.format());
 * ```
 */
export class LatencyRecords {
  readonly #records = new Map<string, LatencyRecord>();

  record(sample: LatencySample): void {
    const key = `${sample.pipeline}/${sample.stage}`;
    let record = this.#records.get(key);
    if (record === undefined) {
      record = makeRecord(sample);
      this.#records.set(key, record);
    }
    recordMs(record.durations, sample.durationMs);
    recordMs(record.overheads, sample.durationMs - sample.callMs);
    record.durationSumMs += sample.durationMs;
    record.callSumMs += sample.callMs;
    record.tokenSum += sample.tokens;
  }

  format(): string {
    return [...this.#records.values()].map(formatRecord).join("");
  }
}

function makeHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function makeRecord(sample: LatencySample): LatencyRecord {
  return {
    pipeline: sample.pipeline,
    stage: sample.stage,
    durations: makeHistogram(),
    overheads: makeHistogram(),
    durationSumMs: 0,
    callSumMs: 0,
    tokenSum: 0,
  };
}

function recordMs(histogram: Histogram, valueMs: number): void {
  const microseconds = Math.round(valueMs * MICROSECONDS_IN_MS);
  histogram.recordValue(
    Math.min(LONGEST_MICROSECONDS, Math.max(0, microseconds)),
  );
}

function formatRecord(record: LatencyRecord): string {
  const labels = `pipeline="${record.pipeline}",stage="${record.stage}"`;
  const lines = [
    ...formatQuantiles("stage_seconds", labels, record.durations),
    ...formatQuantiles("stage_overhead_seconds", labels, record.overheads),
    `sassafrasstage_stage_seconds_count{${labels}} ${record.durations.totalCount}`,
    `sassafrasstage_stage_seconds_sum{${labels}} ${
      record.durationSumMs / 1000
    }`,
    `sassafrasstage_stage_call_seconds_sum{${labels}} ${
      record.callSumMs / 1000
    }`,
    `sassafrasstage_stage_tokens_sum{${labels}} ${record.tokenSum}`,
  ];
  return `${lines.join("\n")}\n`;
}

function formatQuantiles(
  name: string,
  labels: string,
  histogram: Histogram,
): string[] {
  return PERCENTILES.map((percentile) => {
    const seconds = histogram.getValueAtPercentile(percentile) /
      MICROSECONDS_IN_SECOND;
    const quantile = percentile / 100;
    return `sassafrasstage_${name}{${labels},quantile="${quantile}"} ${seconds}`;
  });
}
