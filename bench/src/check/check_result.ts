/**
 * Compares what was measured with the bounds.
 *
 * @module
 */

import type { ScenarioResult } from "../measure/run_scenario.js";
import type { StageOverhead } from "../measure/stage_overhead.js";
import type { Bounds } from "./bounds.js";

export interface Verdict {
  readonly what: string;
  readonly measured: number;
  readonly bound: number;
  readonly isMet: boolean;
}

/**
 * The verdicts on the runs of one scenario.
 *
 * @example
 * ```ts
 * const failed = checkResults(results, bounds).filter((v) => !v.isMet);
 * ```
 */
export function checkResults(
  results: readonly ScenarioResult[],
  bounds: Bounds,
): Verdict[] {
  return [
    ...results.flatMap((result) => checkInvariants(result, bounds)),
    ...results.flatMap((result) => checkScenario(result, bounds)),
    ...checkThroughput(results, bounds),
  ];
}

/**
 * The verdicts on the time that the system adds to a stage.
 *
 * @example
 * ```ts
 * checkOverhead(await measureStageOverhead(500), bounds);
 * ```
 */
export function checkOverhead(
  overhead: StageOverhead,
  bounds: Bounds,
): Verdict[] {
  const { time_room, added_median_ms_max, added_p99_ms_max } =
    bounds["stage-overhead"];
  return [
    atMost("added to a stage, median ms", {
      measured: overhead.added.medianMs,
      bound: added_median_ms_max * time_room,
    }),
    atMost("added to a stage, p99 ms", {
      measured: overhead.added.p99Ms,
      bound: added_p99_ms_max * time_room,
    }),
  ];
}

interface Comparison {
  readonly measured: number;
  readonly bound: number;
}

function atMost(what: string, { measured, bound }: Comparison): Verdict {
  return { what, measured, bound, isMet: measured <= bound };
}

function atLeast(what: string, { measured, bound }: Comparison): Verdict {
  return { what, measured, bound, isMet: measured >= bound };
}

function titleOf(result: ScenarioResult): string {
  const percent = Math.round(result.loadPart * 100);
  return `${result.deployment} ${result.scenario} at ${percent}%`;
}

function checkInvariants(result: ScenarioResult, bounds: Bounds): Verdict[] {
  const title = titleOf(result);
  const { invariants } = result;
  const limits = bounds["every-scenario"];
  return [
    atMost(`${title}: ran twice`, {
      measured: invariants.ranTwice,
      bound: limits.ran_twice_max,
    }),
    atMost(`${title}: untrue "not run"`, {
      measured: invariants.untrueNotRun,
      bound: limits.untrue_not_run_max,
    }),
    atMost(`${title}: wrong answers`, {
      measured: invariants.wrongAnswers,
      bound: limits.wrong_answers_max,
    }),
    atMost(`${title}: cold overloads`, {
      measured: invariants.coldOverloads,
      bound: limits.cold_overloads_max,
    }),
  ];
}

function checkScenario(result: ScenarioResult, bounds: Bounds): Verdict[] {
  switch (result.scenario) {
    case "steady":
    case "vm-killed":
      return [checkAttainment(result, bounds[result.scenario])];
    case "data-centre-leaves-and-returns": {
      const limits = bounds[result.scenario];
      return [
        checkAttainment(result, limits),
        atMost(`${titleOf(result)}: calls while out`, {
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
): Verdict {
  const counter = result.summary.byClass
    .find((entry) => entry.group === "counter");
  return atLeast(`${titleOf(result)}: counter attainment`, {
    measured: counter?.ratio ?? 0,
    bound: limits.counter_attainment_min,
  });
}

function checkThroughput(
  results: readonly ScenarioResult[],
  bounds: Bounds,
): Verdict[] {
  const [full, over] = results;
  if (over?.scenario !== "overload" || full === undefined) return [];
  return [atLeast(`${titleOf(over)}: throughput against full load`, {
    measured: over.summary.attainedPerSecond / full.summary.attainedPerSecond,
    bound: bounds.overload.throughput_ratio_min,
  })];
}
