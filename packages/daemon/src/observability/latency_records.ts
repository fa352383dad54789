/**
 * Records duration, overhead and token count of the pipeline stages in use, for
 * `/metrics`.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { RecentMap } from "../memory/recent_map.js";

/** Routes come and go with the configuration; a record takes some 24 kB. */
const MAX_RECORDS = 128;
const MAX_TRACKED_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const PERCENTILES = [50, 95, 99] as const;

/** Measurements of one finished stage or request. */
export interface LatencySample {
  readonly pipeline: string;
  /** The stage name, or "whole" for the entire request. */
  readonly stage: string;
  readonly durationMs: number;
  /** Part of the duration that was spent in calls to backend servers. */
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
 * Aggregates samples and formats them in the Prometheus text format. Durations
 * above 10 minutes enter the histograms as 10 minutes.
 *
 * @example
 * ```ts
 * latencies.record({ pipeline, stage, durationMs, callMs, tokens: 0 });
 * response.end(latencies.format());
 * ```
 */
export class LatencyRecords {
  readonly #records = new RecentMap<string, LatencyRecord>(MAX_RECORDS);

  /** Number of pipeline stages that were used most recently. */
  get size(): number {
    return this.#records.size;
  }

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
    highestTrackableValue: MAX_TRACKED_MICROSECONDS,
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
  const microseconds = Math.round(valueMs * MICROSECONDS_PER_MS);
  histogram.recordValue(
    Math.min(MAX_TRACKED_MICROSECONDS, Math.max(0, microseconds)),
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
      MICROSECONDS_PER_SECOND;
    const quantile = percentile / 100;
    return `sassafrasstage_${name}{${labels},quantile="${quantile}"} ${seconds}`;
  });
}
