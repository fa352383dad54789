/**
 * Summarizes a load run: attainment, refusals, latency and cost by service.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { groupBy } from "./group_by.js";
import type { LoadRecord } from "./load_record.js";

const MAX_RECORDABLE_US = 600_000_000;
const US_PER_MS = 1000;

/** How many of the sent requests were fully answered within the deadline. */
export interface Attainment {
  readonly group: string;
  readonly sent: number;
  readonly withinDeadline: number;
  readonly ratio: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export interface Count {
  readonly name: string;
  readonly count: number;
}

export interface StageCost {
  readonly service: string;
  readonly calls: number;
  readonly attempts: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  /** Fraction of the total time of all stages. */
  readonly share: number;
}

export interface LoadSummary {
  readonly total: Attainment;
  readonly byClass: readonly Attainment[];
  readonly byClientAccount: readonly Attainment[];
  readonly byPipeline: readonly Attainment[];
  readonly refusals: readonly Count[];
  /** Refusals with `notRun` set. */
  readonly refusedNotRun: number;
  readonly lost: readonly Count[];
  readonly wrongAnswers: number;
  readonly lateAnswers: number;
  readonly attainedPerSecond: number;
  readonly stages: readonly StageCost[];
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
}

/**
 * Summarizes the records of a run that sent requests for `durationMs`.
 *
 * @example
 * ```ts
 * const { total } = summarize(records, 20_000);
 * ```
 */
export function summarize(
  records: readonly LoadRecord[],
  durationMs: number,
): LoadSummary {
  const total = computeAttainment("all", records);
  const refused = records.flatMap(({ outcome }) =>
    outcome.kind === "refused" ? [outcome] : []
  );
  const lost = records.flatMap(({ outcome }) =>
    outcome.kind === "lost" ? [outcome.detail] : []
  );
  return {
    total,
    byClass: computeAttainmentByGroup(records, (record) => record.urgency),
    byClientAccount: computeAttainmentByGroup(
      records,
      (record) => record.clientAccount,
    ),
    byPipeline: computeAttainmentByGroup(records, (record) => record.pipeline),
    refusals: countByName(refused.map((outcome) => outcome.reason)),
    refusedNotRun: refused.filter((outcome) => outcome.notRun).length,
    lost: countByName(lost),
    wrongAnswers: countOutcomes(records, "wrongAnswer"),
    lateAnswers: countOutcomes(records, "answered") - total.withinDeadline,
    attainedPerSecond: total.withinDeadline * 1000 / durationMs,
    stages: summarizeStages(records),
    firstTokenP95Ms: computePercentile(
      records.flatMap(({ tokenTimes }) => tokenTimes?.firstMs ?? []),
      95,
    ),
    betweenTokensP95Ms: computePercentile(
      records.flatMap(({ tokenTimes }) => tokenTimes?.gapsMs ?? []),
      95,
    ),
  };
}

/**
 * A percentile of times in milliseconds; 0 if there are none.
 *
 * @example
 * ```ts
 * computePercentile([1, 2, 3], 50); // 2
 * ```
 */
export function computePercentile(
  timesMs: readonly number[],
  percentile: number,
): number {
  return readPercentile(buildHistogram(timesMs), percentile);
}

function buildHistogram(timesMs: readonly number[]): Histogram {
  const histogram = build({
    highestTrackableValue: MAX_RECORDABLE_US,
    numberOfSignificantValueDigits: 3,
  });
  for (const timeMs of timesMs) {
    const timeUs = Math.max(0, Math.round(timeMs * US_PER_MS));
    histogram.recordValue(Math.min(timeUs, MAX_RECORDABLE_US));
  }
  return histogram;
}

function readPercentile(histogram: Histogram, percentile: number): number {
  if (histogram.totalCount === 0) return 0;
  return histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

function countOutcomes(
  records: readonly LoadRecord[],
  kind: LoadRecord["outcome"]["kind"],
): number {
  return records.filter(({ outcome }) => outcome.kind === kind).length;
}

function computeAttainmentByGroup(
  records: readonly LoadRecord[],
  groupOf: (record: LoadRecord) => string,
): Attainment[] {
  const groups = groupBy(records, groupOf);
  return [...groups]
    .map(([group, members]) => computeAttainment(group, members))
    .sort((a, b) => a.group.localeCompare(b.group));
}

function computeAttainment(
  group: string,
  records: readonly LoadRecord[],
): Attainment {
  const withinDeadline = records.filter((record) => record.isWithinDeadline)
    .length;
  const times = buildHistogram(
    records.filter(({ outcome }) => outcome.kind === "answered")
      .map((record) => record.latencyMs),
  );
  return {
    group,
    sent: records.length,
    withinDeadline,
    ratio: records.length === 0 ? 0 : withinDeadline / records.length,
    p50Ms: readPercentile(times, 50),
    p99Ms: readPercentile(times, 99),
  };
}

function countByName(names: readonly string[]): Count[] {
  return [...groupBy(names, (name) => name)]
    .map(([name, members]) => ({ name, count: members.length }))
    .sort((a, b) => b.count - a.count);
}

function summarizeStages(records: readonly LoadRecord[]): StageCost[] {
  const stages = records.flatMap(({ outcome }) =>
    outcome.kind === "answered" ? outcome.stages : []
  );
  const totalMs = stages.reduce((sum, stage) => sum + stage.durationMs, 0);
  return [...groupBy(stages, (stage) => stage.service)]
    .map(([service, members]) => {
      const sumMs = members.reduce((sum, stage) => sum + stage.durationMs, 0);
      return {
        service,
        calls: members.length,
        attempts: members.reduce((sum, stage) => sum + stage.attempts, 0),
        meanMs: sumMs / members.length,
        p99Ms: computePercentile(members.map((stage) => stage.durationMs), 99),
        share: sumMs / totalMs,
      };
    })
    .sort((a, b) => b.share - a.share);
}
