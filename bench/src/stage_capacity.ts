/**
 * `npm run bench:stages -- FILE`: prints the largest share of a load that stage
 * services could serve in each phase.
 *
 * @module
 */

import { Command } from "commander";
import { readFileSync } from "node:fs";
import { formatTable } from "./report/format_table.js";
import { findMaxServableShares } from "./stage_capacity/max_servable_shares.js";
import { stageLoadSchema } from "./stage_capacity/stage_load.js";

const program = new Command("bench:stages")
  .description("The largest share of a load that stage services could serve")
  .argument("<file>", "load file, as in bench/loads")
  .parse();

const [file = ""] = program.args;
const load = stageLoadSchema.parse(JSON.parse(readFileSync(file, "utf8")));
const rows = load.phases.map((phase) => {
  const { shares, worthShare, demands } = findMaxServableShares(load, phase);
  return [
    phase.name,
    worthShare.toFixed(3),
    ...load.classes.map(({ name }) => (shares.get(name) ?? 0).toFixed(3)),
    ...demands.map(({ time, room }) =>
      `${time.toFixed(2)} / ${room.toFixed(2)}`
    ),
  ];
});
const table = formatTable([
  [
    "phase",
    "worth",
    ...load.classes.map(({ name }) => name),
    ...load.services.map(({ name }) => `${name} time / room`),
  ],
  ...rows,
]);
process.stdout.write(`${table}\n`);
