/**
 * Prints what callers get in simulated bursts with both policies, as the mean
 * over several seeds: `node measure_stage_bursts.js`.
 *
 * @module
 */

import { type ServiceName, toId } from "@sassafrasstage/protocol/ids";
import { type BurstResult, simulateBurst } from "./stage_bursts.js";

const LOADS = [1, 1.7, 2.5, 6];
const SEEDS = [1, 2, 3, 4, 5];
/** Smaller groups say little about a share. */
const MIN_REQUESTS = 8;

function mean(values: readonly number[]): string {
  const sum = values.reduce((total, value) => total + value, 0);
  return (sum / values.length).toFixed(3);
}

function leastRelativeShare(result: BurstResult): number {
  const groups = [...result.accounts, ...result.kinds]
    .filter(({ requests }) => requests >= MIN_REQUESTS);
  return Math.min(...groups.map(({ servedShare }) => servedShare)) /
    result.all.servedShare;
}

function leastLargeShare(result: BurstResult): number {
  return Math.min(
    ...result.largest.flatMap(({ servedShare }, position) => {
      const kind = result.kinds[position];
      return kind === undefined ? [] : [servedShare / kind.servedShare];
    }),
  );
}

for (const load of LOADS) {
  for (const policy of ["legacy", "callerCost"] as const) {
    const results = SEEDS.map((seed) => simulateBurst({ policy, load, seed }));
    const kinds = ["note", "draft", "label"].map((name, position) => {
      const shares = results.map(({ kinds: groups }) => groups[position]);
      const served = shares.map((share) => share?.servedShare ?? 0);
      const onTime = shares.map((share) => share?.onTimeShare ?? 0);
      return `${name} ${mean(onTime)}/${mean(served)}`;
    });
    console.log(
      [
        `load ${load} ${policy}`,
        `worth ${mean(results.map(({ all }) => all.worthShare))}`,
        `least ${
          Math.min(...results.map(({ all }) => all.worthShare)).toFixed(3)
        }`,
        `on time ${mean(results.map(({ all }) => all.onTimeShare))}`,
        `served ${mean(results.map(({ all }) => all.servedShare))}`,
        ...kinds,
        `inversion ${mean(results.map(({ inversion }) => inversion))}`,
        `least group ${mean(results.map(leastRelativeShare))} (${
          Math.min(...results.map(leastRelativeShare)).toFixed(2)
        })`,
        `least large ${mean(results.map(leastLargeShare))} (${
          Math.min(...results.map(leastLargeShare)).toFixed(2)
        })`,
        `items ${
          ["encoder", "reranker"].map((name) =>
            mean(
              results.map(({ itemsPerCall }) =>
                itemsPerCall.get(toId<ServiceName>(name)) ?? 0
              ),
            )
          ).join("/")
        }`,
        `wasted ${mean(results.map(({ wastedShare }) => wastedShare))}`,
        `refusals ${mean(results.map(({ refusals }) => refusals))}`,
      ].join(", "),
    );
  }
}
