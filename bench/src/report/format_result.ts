/**
 * Formats the report of one run for the terminal.
 *
 * @module
 */

import type { Attainment, Count } from "../load/summary.js";
import type { ScenarioResult } from "../measure/run_scenario.js";
import { formatPercent, formatTable } from "./format_table.js";

/**
 * @example
 * ```ts
 * console.log(formatResult(result));
 * ```
 */
export function formatResult(result: ScenarioResult): string {
  const { summary } = result;
  return [
    formatHeading(result),
    formatAttainment([
      summary.total,
      ...summary.byClass,
      ...summary.byClientAccount,
      ...summary.byPipeline,
    ]),
    formatStages(result),
    formatCounts("Refusals by reason", summary.refusals),
    formatCounts("Lost", summary.lost),
    formatCounts("Retries", result.control.retries),
    formatCounts("Drops", result.control.drops),
    formatControl(result),
    formatInvariants(result),
  ].filter((part) => part !== "").join("\n\n");
}

/**
 * Compares the attainment of two policies in the same scenario.
 *
 * @example
 * ```ts
 * console.log(formatRatio(current, baseline));
 * ```
 */
export function formatRatio(
  current: ScenarioResult,
  baseline: ScenarioResult,
): string {
  const ratio = current.summary.total.ratio / baseline.summary.total.ratio;
  return `Attainment ${current.scenario} at ${
    formatPercent(current.loadPart)
  }: current ${formatPercent(current.summary.total.ratio)}, baseline ${
    formatPercent(baseline.summary.total.ratio)
  }, ratio ${ratio.toFixed(3)}`;
}

function formatHeading(result: ScenarioResult): string {
  const rate = result.requestsPerSecond.toFixed(1);
  return `== ${result.deployment} ${result.scenario} ${result.policy}: load ${
    formatPercent(result.loadPart)
  } of capacity, ${rate} requests/s sent`;
}

function formatAttainment(groups: readonly Attainment[]): string {
  const rows = groups.map((entry) => [
    entry.group,
    String(entry.sent),
    String(entry.withinDeadline),
    formatPercent(entry.ratio),
    entry.p50Ms.toFixed(0),
    entry.p99Ms.toFixed(0),
  ]);
  const header = ["", "sent", "in time", "attained", "p50 ms", "p99 ms"];
  return formatTable([header, ...rows]);
}

function formatStages({ summary }: ScenarioResult): string {
  const rows = summary.stages.map((entry) => [
    entry.service,
    String(entry.calls),
    String(entry.attempts),
    entry.meanMs.toFixed(1),
    entry.p99Ms.toFixed(1),
    formatPercent(entry.share),
  ]);
  const header = ["service", "stages", "attempts", "mean ms", "p99 ms", "cost"];
  return formatTable([header, ...rows]);
}

function formatCounts(title: string, counts: readonly Count[]): string {
  if (counts.length === 0) return `${title}: none`;
  const parts = counts.map(({ name, count }) => `${name} ${count}`);
  return `${title}: ${parts.join(", ")}`;
}

function formatControl({ control, summary }: ScenarioResult): string {
  return formatTable([
    ["platform reads/s", control.platformReadsPerSecond.toFixed(1)],
    ["platform writes/s", control.platformWritesPerSecond.toFixed(1)],
    ["bytes/s between daemons", control.peerBytesPerSecond.toFixed(0)],
    ["messages/s between daemons", control.peerMessagesPerSecond.toFixed(0)],
    ["first token p95 ms", summary.firstTokenP95Ms.toFixed(0)],
    ["between tokens p95 ms", summary.betweenTokensP95Ms.toFixed(1)],
  ]);
}

function formatInvariants(result: ScenarioResult): string {
  const { invariants, callsWhileOut } = result;
  return formatTable([
    ["ran twice", String(invariants.ranTwice)],
    ['untrue "not run"', String(invariants.untrueNotRun)],
    ["wrong answers", String(invariants.wrongAnswers)],
    ["cold overloads", String(invariants.coldOverloads)],
    ...(callsWhileOut === undefined
      ? []
      : [["calls while out", String(callsWhileOut)]]),
    ["load generator late by at most ms", result.maxSendDelayMs.toFixed(0)],
    ["load average of the machine", result.loadAverage.toFixed(1)],
  ]);
}
