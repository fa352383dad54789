/**
 * Command-line entry point of the random-fault run:
 * `npm run test:faults -- --seed N --minutes M`.
 *
 * @module
 */

import { Command } from "commander";
import { runRandomFaults } from "./random_faults.js";

interface Options {
  readonly seed: string;
  readonly minutes: string;
}

const MS_PER_MINUTE = 60_000;

const program = new Command("test:faults")
  .description("Run a cluster under random faults and check its invariants")
  .option("--seed <number>", "seed of the faults and the load", "1")
  .option("--minutes <number>", "duration of fault injection in minutes", "1")
  .parse();

const options = program.opts<Options>();
const seed = Number(options.seed);
const report = await runRandomFaults({
  seed,
  durationMs: Number(options.minutes) * MS_PER_MINUTE,
  onFault: (description) => {
    print(`time=${new Date().toISOString()} ${description}`);
  },
});
print(`seed=${seed} faults=${report.faults.length}`);
print(`requests=${report.requestCount} ${report.summary}`);
for (const violation of report.violations) print(`violation ${violation}`);
for (const trace of report.overloadTraces) print(trace);
print(`violations=${report.violations.length}`);
process.exitCode = report.violations.length === 0 ? 0 : 1;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
