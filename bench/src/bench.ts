/**
 * `npm run bench`: runs a scenario against a deployment of real processes and
 * prints the measurements.
 *
 * @module
 */

import { Command, InvalidArgumentError, Option } from "commander";
import { writeFileSync } from "node:fs";
import { makeDeployment } from "./deployments/deployments.js";
import {
  DEPLOYMENT_NAMES,
  type DeploymentName,
} from "./deployments/example_files.js";
import type { PolicyName } from "./deployments/make_cluster_plan.js";
import { runScenario, type ScenarioResult } from "./measure/run_scenario.js";
import { formatRatio, formatResult } from "./report/format_result.js";
import { SCENARIO_NAMES, type ScenarioName } from "./scenarios/scenario.js";
import { getScenarioRuns } from "./scenarios/scenarios.js";

interface Options {
  readonly deployment: DeploymentName;
  readonly scenario: ScenarioName;
  readonly policy: PolicyName | "both";
  readonly seconds: number;
  readonly warmUpSeconds: number;
  readonly seed: number;
  readonly queueOrder: string;
  readonly prefixAffinity: "on" | "off";
  readonly json?: string;
}

const options = makeCommand().parse().opts<Options>();
const results: ScenarioResult[] = [];
for (const scenario of getScenarioRuns(options.scenario)) {
  const byPolicy = new Map<PolicyName, ScenarioResult>();
  for (const policy of listPolicies(options.policy)) {
    const result = await runScenario(
      scenario,
      makeDeployment(options.deployment),
      {
        policy,
        seed: options.seed,
        queueOrder: options.queueOrder,
        prefixAffinity: options.prefixAffinity,
        warmUpMs: options.warmUpSeconds * 1000,
        measuredMs: options.seconds * 1000,
      },
    );
    console.log(`${formatResult(result)}\n`);
    byPolicy.set(policy, result);
    results.push(result);
  }
  printAttainmentRatio(byPolicy);
}
printThroughputRatio();
if (options.json !== undefined) {
  writeFileSync(options.json, JSON.stringify(results, null, 2));
}

function makeCommand(): Command {
  return new Command("bench")
    .description("Run a scenario against a deployment of real processes")
    .addOption(
      new Option("--deployment <name>").choices(DEPLOYMENT_NAMES)
        .makeOptionMandatory(),
    )
    .addOption(
      new Option("--scenario <name>").choices(SCENARIO_NAMES)
        .makeOptionMandatory(),
    )
    .addOption(
      new Option("--policy <name>").choices(["current", "baseline", "both"])
        .default("both"),
    )
    .option(
      "--seconds <n>",
      "measured duration in seconds",
      parseNonNegativeNumber,
      30,
    )
    .option(
      "--warm-up-seconds <n>",
      "warm-up duration in seconds",
      parseNonNegativeNumber,
      8,
    )
    .option(
      "--seed <n>",
      "seed of the random arrivals",
      parseNonNegativeNumber,
      1,
    )
    .addOption(
      new Option("--queue-order <name>")
        .choices(["slack", "arrival", "deadline", "excessWait"])
        .default("slack"),
    )
    .addOption(
      new Option("--prefix-affinity <state>").choices(["on", "off"])
        .default("off"),
    )
    .option("--json <file>", "also write the results to this file as JSON");
}

function parseNonNegativeNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError("Expected a non-negative number");
}

function listPolicies(policy: PolicyName | "both"): PolicyName[] {
  return policy === "both" ? ["current", "baseline"] : [policy];
}

function printAttainmentRatio(
  byPolicy: ReadonlyMap<PolicyName, ScenarioResult>,
): void {
  const current = byPolicy.get("current");
  const baseline = byPolicy.get("baseline");
  if (current === undefined || baseline === undefined) return;
  console.log(`${formatRatio(current, baseline)}\n`);
}

/** Prints the attained throughput in overload relative to full load. */
function printThroughputRatio(): void {
  if (options.scenario !== "overload") return;
  for (const policy of listPolicies(options.policy)) {
    const [fullLoad, overload] = results.filter((result) =>
      result.policy === policy
    );
    if (fullLoad === undefined || overload === undefined) continue;
    const ratio = overload.summary.attainedPerSecond /
      fullLoad.summary.attainedPerSecond;
    console.log(
      `Attained throughput of ${policy}: ${
        fullLoad.summary.attainedPerSecond.toFixed(1)
      }/s at full load, ${
        overload.summary.attainedPerSecond.toFixed(1)
      }/s in overload, ratio ${ratio.toFixed(3)}`,
    );
  }
}
