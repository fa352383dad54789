/**
 * `npm run bench:check`: runs a short form of each scenario for both
 * deployments and checks the results against `bench/bounds.ini`. Exits with
 * code 1 if a bound is not met.
 *
 * @module
 */

import { readBounds } from "./check/bounds.js";
import {
  type BoundCheck,
  checkOverhead,
  checkResults,
} from "./check/check_result.js";
import { makeDeployment } from "./deployments/deployments.js";
import {
  DEPLOYMENT_NAMES,
  type DeploymentName,
} from "./deployments/example_files.js";
import { runScenario, type ScenarioResult } from "./measure/run_scenario.js";
import { measureStageOverhead } from "./measure/stage_overhead.js";
import { SCENARIO_NAMES, type ScenarioName } from "./scenarios/scenario.js";
import { getScenarioRuns } from "./scenarios/scenarios.js";

const SEED = 1;
const WARM_UP_MS = 6000;
const MEASURED_MS = 10_000;
/** Long enough for the grace period of 3 s and some time out of service. */
const DATA_CENTRE_OUT_MEASURED_MS = 15_000;
const OVERHEAD_CALLS = 500;

const bounds = readBounds();
const checks: BoundCheck[] = [];
for (const deployment of DEPLOYMENT_NAMES) {
  for (const scenario of SCENARIO_NAMES) {
    recordChecks(
      checkResults(await runShortScenario(scenario, deployment), bounds),
    );
  }
}
recordChecks(checkOverhead(await measureStageOverhead(OVERHEAD_CALLS), bounds));
const failed = checks.filter((check) => !check.isMet);
console.log(`${checks.length} bounds, ${failed.length} not met`);
process.exitCode = failed.length === 0 ? 0 : 1;

async function runShortScenario(
  name: ScenarioName,
  deployment: DeploymentName,
): Promise<ScenarioResult[]> {
  const results: ScenarioResult[] = [];
  for (const scenario of getScenarioRuns(name)) {
    results.push(
      await runScenario(scenario, makeDeployment(deployment), {
        policy: "current",
        seed: SEED,
        warmUpMs: WARM_UP_MS,
        measuredMs: name === "data-centre-leaves-and-returns"
          ? DATA_CENTRE_OUT_MEASURED_MS
          : MEASURED_MS,
      }),
    );
  }
  return results;
}

function recordChecks(newChecks: readonly BoundCheck[]): void {
  for (const { label, measured, bound, isMet } of newChecks) {
    const value = Number(measured.toPrecision(4));
    const status = isMet ? "met    " : "NOT MET";
    console.log(`${status} ${label}: ${value}, bound ${bound}`);
  }
  checks.push(...newChecks);
}
