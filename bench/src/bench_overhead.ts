/**
 * Prints the time that the system adds to a stage.
 *
 * @module
 */

import { measureStageOverhead } from "./measure/stage_overhead.js";
import { formatTable } from "./report/format_table.js";

const CALLS = 1000;

const { calls, ...times } = await measureStageOverhead(CALLS);
console.log(`${calls} calls of each kind, alternating, without other load`);
console.log(formatTable([
  ["", "median ms", "p99 ms"],
  ...Object.entries(times).map(([name, { medianMs, p99Ms }]) => [
    name,
    medianMs.toFixed(2),
    p99Ms.toFixed(2),
  ]),
]));
