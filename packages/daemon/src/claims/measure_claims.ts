/**
 * Measures how many claims and outcomes are batched into one platform write,
 * with an in-memory store that responds after a few milliseconds. Run manually:
 * `node packages/daemon/dist/claims/measure_claims.js`.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  ClaimStoreFleet,
  type FleetVm,
  makeAnswer,
  NEVER_ABORTED,
} from "./testing/claim_store_fleet.js";

const VMS = ["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f", "vm-g", "vm-h"];
const PARTITIONS = 16;
const CLAIMS_PER_SECOND = [10, 100, 300, 1000];
const MEASUREMENT_MS = 5000;
const STORE_LATENCY_MS = 3;
/** Run time of a claimed request. */
const RUN_MS = 20;
const ANSWER = makeAnswer("x".repeat(300));

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

/** Results of the requests of one measurement. */
interface Tally {
  readonly latenciesMs: number[];
  refused: number;
}

async function runRequest(
  fleet: ClaimStoreFleet,
  vm: FleetVm,
  run: { readonly key: string; readonly tally: Tally },
): Promise<void> {
  const startedAtMs = performance.now();
  const decision = await vm.claimStore.claim(
    fleet.request(run.key),
    NEVER_ABORTED,
  );
  run.tally.latenciesMs.push(performance.now() - startedAtMs);
  if (decision.kind !== "held") {
    run.tally.refused++;
    return;
  }
  await sleep(RUN_MS);
  await vm.claimStore.recordOutcome(decision.claim, {
    kind: "answered",
    answer: ANSWER,
  });
}

/** Starts requests at a constant rate and waits for all of them. */
async function runLoad(
  fleet: ClaimStoreFleet,
  vms: readonly FleetVm[],
  claimsPerSecond: number,
): Promise<Tally> {
  const tally: Tally = { latenciesMs: [], refused: 0 };
  const work: Promise<void>[] = [];
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < MEASUREMENT_MS) {
    const due = (performance.now() - startedAtMs) * claimsPerSecond / 1000;
    while (work.length < due) {
      const vm = vms[work.length % vms.length];
      if (vm === undefined) return tally;
      work.push(runRequest(fleet, vm, { key: `key-${work.length}`, tally }));
    }
    await sleep(1);
  }
  await Promise.all(work);
  return tally;
}

async function measure(claimsPerSecond: number): Promise<void> {
  const fleet = new ClaimStoreFleet({
    partitions: PARTITIONS,
    gatherMinMs: 2,
    gatherMaxMs: 200,
  });
  fleet.store.delayMs = () => STORE_LATENCY_MS;
  const vms: FleetVm[] = [];
  for (const vmId of VMS) vms.push(await fleet.start(vmId));
  const startedAtMs = performance.now();
  const { latenciesMs, refused } = await runLoad(fleet, vms, claimsPerSecond);
  const seconds = (performance.now() - startedAtMs) / 1000;
  const claims = latenciesMs.length;
  const updates = fleet.store.calls.get("update") ?? 0;
  const reads = fleet.store.calls.get("read") ?? 0;
  latenciesMs.sort((a, b) => a - b);
  const fields = {
    claims,
    refused,
    claimsPerSecond: Math.round(claims / seconds),
    writesPerSecond: Math.round(updates / seconds),
    readsPerSecond: Math.round(reads / seconds),
    operationsPerWrite: (2 * claims / updates).toFixed(1),
    claimMedianMs: Math.round(quantile(latenciesMs, 0.5)),
    claim99Ms: Math.round(quantile(latenciesMs, 0.99)),
  };
  const pairs = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}`
  );
  process.stdout.write(`${pairs.join(" ")}\n`);
  fleet.close();
}

for (const claimsPerSecond of CLAIMS_PER_SECOND) {
  await measure(claimsPerSecond);
}
