/**
 * `npm run bench`: runs a scenario against a deployment of real processes and
 * prints what was measured.
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
import { findRuns } from "./scenarios/scenarios.js";

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
for (const scenario of findRuns(options.scenario)) {
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
  printRatio(byPolicy);
}
printCollapse();
if (options.json !== undefined) {
  writeFileSync(options.json, JSON.stringify(results, null, 2));
}

function makeCommand(): Command {
  return new Command("bench")
    .description("Runs a scenario against a deployment of real processes")
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
    .option("--seconds <n>", "measured time", parseNumber, 30)
    .option("--warm-up-seconds <n>", "time before it", parseNumber, 8)
    .option("--seed <n>", "seed of the arrivals", parseNumber, 1)
    .addOption(
      new Option("--queue-order <name>")
        .choices(["slack", "arrival", "deadline", "excessWait"])
        .default("slack"),
    )
    .addOption(
      new Option("--prefix-affinity <state>").choices(["on", "off"])
        .default("off"),
    )
    .option("--json <file>", "also write the results there");
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError("Expected a number of 0 or more");
}

function listPolicies(policy: PolicyName | "both"): PolicyName[] {
  return policy === "both" ? ["current", "baseline"] : [policy];
}

function printRatio(byPolicy: ReadonlyMap<PolicyName, ScenarioResult>): void {
  const current = byPolicy.get("current");
  const baseline = byPolicy.get("baseline");
  if (current === undefined || baseline === undefined) return;
  console.log(`${formatRatio(current, baseline)}\n`);
}

/** Attained throughput of the overload against the run at full load. */
function printCollapse(): void {
  if (options.scenario !== "overload") return;
  for (const policy of listPolicies(options.policy)) {
    const [full, over] = results.filter((result) => result.policy === policy);
    if (full === undefined || over === undefined) continue;
    const ratio = over.summary.attainedPerSecond /
      full.summary.attainedPerSecond;
    console.log(
      `Attained throughput of ${policy}: ${
        full.summary.attainedPerSecond.toFixed(1)
      }/s at full load, ${
        over.summary.attainedPerSecond.toFixed(1)
      }/s in overload, ratio ${ratio.toFixed(3)}`,
    );
  }
}
