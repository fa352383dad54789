/**
 * Prints what callers get from a VM with a quarter of a core in bursts, with
 * both policies: `node measure_small_vm.js`.
 *
 * @module
 */

import { simulateVm } from "./simulated_vm.js";

const LOADS = [1, 1.7, 2.5, 6];
const SEEDS = [1, 2, 3, 4, 5];
const CORES = 0.25;

function mean(values: readonly number[]): string {
  const sum = values.reduce((total, value) => total + value, 0);
  return (sum / values.length).toFixed(3);
}

for (const load of LOADS) {
  for (const policy of ["legacy", "callerCost"] as const) {
    const results = SEEDS.map((seed) =>
      simulateVm({ policy, load, cores: CORES, seed })
    );
    const kinds = ["note", "draft", "label"].map((name) =>
      `${name} ${
        mean(results.map(({ servedByKind }) => servedByKind.get(name) ?? 0))
      }`
    );
    console.log(
      [
        `load ${load} ${policy}`,
        `worth ${mean(results.map(({ worthShare }) => worthShare))}`,
        `on time ${mean(results.map(({ onTimeShare }) => onTimeShare))}`,
        `served ${mean(results.map(({ servedShare }) => servedShare))}`,
        `discarded ${
          mean(results.map(({ discardedShare }) => discardedShare))
        }`,
        ...kinds,
        `refusals ${mean(results.map(({ refusals }) => refusals))}`,
      ].join(", "),
    );
  }
}
