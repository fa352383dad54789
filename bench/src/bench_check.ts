/**
 * `npm run bench:check`: a short form of each scenario for both deployments,
 * held to the bounds of `bench/bounds.ini`. Exit code 1 below a bound.
 *
 * @module
 */

import { readBounds } from "./check/bounds.js";
import {
  checkOverhead,
  checkResults,
  type Verdict,
} from "./check/check_result.js";
import { makeDeployment } from "./deployments/deployments.js";
import {
  DEPLOYMENT_NAMES,
  type DeploymentName,
} from "./deployments/example_files.js";
import { runScenario, type ScenarioResult } from "./measure/run_scenario.js";
import { measureStageOverhead } from "./measure/stage_overhead.js";
import { SCENARIO_NAMES, type ScenarioName } from "./scenarios/scenario.js";
import { findRuns } from "./scenarios/scenarios.js";

const SEED = 1;
const WARM_UP_MS = 6000;
const MEASURED_MS = 10_000;
/** Long enough for 3 s of grace and some time out of service after it. */
const DEPARTURE_MS = 15_000;
const OVERHEAD_CALLS = 500;

const bounds = readBounds();
const verdicts: Verdict[] = [];
for (const deployment of DEPLOYMENT_NAMES) {
  for (const scenario of SCENARIO_NAMES) {
    note(checkResults(await runShort(scenario, deployment), bounds));
  }
}
note(checkOverhead(await measureStageOverhead(OVERHEAD_CALLS), bounds));
const failed = verdicts.filter((verdict) => !verdict.isMet);
console.log(`${verdicts.length} bounds, ${failed.length} not met`);
process.exitCode = failed.length === 0 ? 0 : 1;

async function runShort(
  name: ScenarioName,
  deployment: DeploymentName,
): Promise<ScenarioResult[]> {
  const results: ScenarioResult[] = [];
  for (const scenario of findRuns(name)) {
    results.push(
      await runScenario(scenario, makeDeployment(deployment), {
        policy: "current",
        seed: SEED,
        warmUpMs: WARM_UP_MS,
        measuredMs: name === "data-centre-leaves-and-returns"
          ? DEPARTURE_MS
          : MEASURED_MS,
      }),
    );
  }
  return results;
}

function note(found: readonly Verdict[]): void {
  for (const { what, measured, bound, isMet } of found) {
    const value = Number(measured.toPrecision(4));
    const mark = isMet ? "met    " : "NOT MET";
    console.log(`${mark} ${what}: ${value}, bound ${bound}`);
  }
  verdicts.push(...found);
}
