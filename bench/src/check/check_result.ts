/**
 * Compares measured results with the bounds.
 *
 * @module
 */

import type { ScenarioResult } from "../measure/run_scenario.js";
import type { StageOverhead } from "../measure/stage_overhead.js";
import type { Bounds } from "./bounds.js";

export interface BoundCheck {
  readonly label: string;
  readonly measured: number;
  readonly bound: number;
  readonly isMet: boolean;
}

/**
 * Checks the runs of one scenario.
 *
 * @example
 * ```ts
 * const failed = checkResults(results, bounds).filter((check) => !check.isMet);
 * ```
 */
export function checkResults(
  results: readonly ScenarioResult[],
  bounds: Bounds,
): BoundCheck[] {
  return [
    ...results.flatMap((result) => checkInvariants(result, bounds)),
    ...results.flatMap((result) => checkScenario(result, bounds)),
    ...checkThroughput(results, bounds),
  ];
}

/**
 * Checks the time that the system adds to a stage.
 *
 * @example
 * ```ts
 * checkOverhead(await measureStageOverhead(500), bounds);
 * ```
 */
export function checkOverhead(
  overhead: StageOverhead,
  bounds: Bounds,
): BoundCheck[] {
  const { time_room, added_median_ms_max, added_p99_ms_max } =
    bounds["stage-overhead"];
  return [
    checkAtMost("added to a stage, median ms", {
      measured: overhead.added.medianMs,
      bound: added_median_ms_max * time_room,
    }),
    checkAtMost("added to a stage, p99 ms", {
      measured: overhead.added.p99Ms,
      bound: added_p99_ms_max * time_room,
    }),
  ];
}

interface Comparison {
  readonly measured: number;
  readonly bound: number;
}

function checkAtMost(
  label: string,
  { measured, bound }: Comparison,
): BoundCheck {
  return { label, measured, bound, isMet: measured <= bound };
}

function checkAtLeast(
  label: string,
  { measured, bound }: Comparison,
): BoundCheck {
  return { label, measured, bound, isMet: measured >= bound };
}

function formatRunTitle(result: ScenarioResult): string {
  const percent = Math.round(result.loadPart * 100);
  return `${result.deployment} ${result.scenario} at ${percent}%`;
}

function checkInvariants(result: ScenarioResult, bounds: Bounds): BoundCheck[] {
  const title = formatRunTitle(result);
  const { invariants } = result;
  const limits = bounds["every-scenario"];
  return [
    checkAtMost(`${title}: ran twice`, {
      measured: invariants.ranTwice,
      bound: limits.ran_twice_max,
    }),
    checkAtMost(`${title}: untrue "not run"`, {
      measured: invariants.untrueNotRun,
      bound: limits.untrue_not_run_max,
    }),
    checkAtMost(`${title}: wrong answers`, {
      measured: invariants.wrongAnswers,
      bound: limits.wrong_answers_max,
    }),
    checkAtMost(`${title}: cold overloads`, {
      measured: invariants.coldOverloads,
      bound: limits.cold_overloads_max,
    }),
  ];
}

function checkScenario(result: ScenarioResult, bounds: Bounds): BoundCheck[] {
  switch (result.scenario) {
    case "steady":
    case "vm-killed":
      return [checkAttainment(result, bounds[result.scenario])];
    case "data-centre-leaves-and-returns": {
      const limits = bounds[result.scenario];
      return [
        checkAttainment(result, limits),
        checkAtMost(`${formatRunTitle(result)}: calls while out`, {
          measured: result.callsWhileOut ?? 0,
          bound: limits.calls_while_out_max,
        }),
      ];
    }
    case "overload":
    case "burst":
    case "cold-restart":
    case "platform-outage":
      return [];
  }
}

function checkAttainment(
  result: ScenarioResult,
  limits: { readonly counter_attainment_min: number },
): BoundCheck {
  const counter = result.summary.byClass
    .find((entry) => entry.group === "counter");
  return checkAtLeast(`${formatRunTitle(result)}: counter attainment`, {
    measured: counter?.ratio ?? 0,
    bound: limits.counter_attainment_min,
  });
}

function checkThroughput(
  results: readonly ScenarioResult[],
  bounds: Bounds,
): BoundCheck[] {
  const [fullLoad, overload] = results;
  if (overload?.scenario !== "overload" || fullLoad === undefined) return [];
  return [
    checkAtLeast(`${formatRunTitle(overload)}: throughput against full load`, {
      measured: overload.summary.attainedPerSecond /
        fullLoad.summary.attainedPerSecond,
      bound: bounds.overload.throughput_ratio_min,
    }),
  ];
}
