/**
 * The scenarios by name.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { Scenario, ScenarioName } from "./scenario.js";

const STEADY_PART = 0.7;
const OVERLOAD_PART = 1.5;
const FULL_PART = 1;
/** Leaves room for a data centre's share in the others. */
const DEPARTURE_PART = 0.45;

/**
 * The runs of a scenario, in order. Overload begins with a run at full load,
 * against which its throughput is judged.
 *
 * @example
 * ```ts
 * for (const run of findRuns("overload")) console.log(run.loadPart);
 * ```
 */
export function findRuns(name: ScenarioName): Scenario[] {
  switch (name) {
    case "steady":
      return [{ name, loadPart: STEADY_PART, events: [] }];
    case "overload":
      return [FULL_PART, OVERLOAD_PART].map((loadPart) => ({
        name,
        loadPart,
        events: [],
      }));
    case "burst":
      return [{ name, loadPart: 0.5, burstPart: 1, events: [] }];
    case "cold-restart":
      return [makeColdRestart(name)];
    case "vm-killed":
      return [makeVmKilled(name)];
    case "data-centre-leaves-and-returns":
      return [makeDeparture(name)];
    case "platform-outage":
      return [makeOutage(name)];
  }
}

function makeColdRestart(name: ScenarioName): Scenario {
  return {
    name,
    loadPart: DEPARTURE_PART,
    events: [{
      name: "every third backend server turns cold",
      atPart: 1 / 3,
      run: async (cluster) => {
        const cold = cluster.servers.filter((_, index) => index % 3 === 0);
        await Promise.all(cold.map((server) => server.turnCold()));
      },
    }],
  };
}

function makeVmKilled(name: ScenarioName): Scenario {
  return {
    name,
    loadPart: STEADY_PART,
    events: [
      {
        name: "the first entry VM is killed",
        atPart: 1 / 3,
        run: async (cluster) => {
          await cluster.daemons[0]?.kill();
        },
      },
      {
        name: "it is started again",
        atPart: 2 / 3,
        run: async (cluster) => {
          await cluster.daemons[0]?.start();
        },
      },
    ],
  };
}

export const DEPARTURE_AT_PART = 0.25;
export const RETURN_AT_PART = 0.6;

function makeDeparture(name: ScenarioName): Scenario {
  return {
    name,
    loadPart: DEPARTURE_PART,
    events: [
      {
        name: "the data centre is taken out",
        atPart: DEPARTURE_AT_PART,
        run: (cluster, deployment) =>
          submitOut(cluster, [deployment.leavingDataCentre]),
      },
      {
        name: "the data centre is taken back, its servers cold",
        atPart: RETURN_AT_PART,
        run: async (cluster, deployment) => {
          const cold = cluster.servers.filter((server) =>
            server.dataCentre === deployment.leavingDataCentre
          );
          await Promise.all(cold.map((server) => server.turnCold()));
          await submitOut(cluster, []);
        },
      },
    ],
  };
}

async function submitOut(
  cluster: Cluster,
  dataCentresOut: string[],
): Promise<void> {
  const { register, rules } = cluster.configuration;
  const answer = await cluster.submitConfiguration({
    register,
    rules: { ...rules, dataCentresOut },
  });
  if (answer.status < 300) return;
  throw new Error(`Refused with ${answer.status}: ${JSON.stringify(answer)}`);
}

function makeOutage(name: ScenarioName): Scenario {
  return {
    name,
    loadPart: 0.6,
    events: [
      {
        name: "the platform goes down",
        atPart: 1 / 4,
        run: (cluster) => cluster.platform.setFaults({ isDown: true }),
      },
      {
        name: "the platform comes back",
        atPart: 3 / 4,
        run: (cluster) => cluster.platform.setFaults({ isDown: false }),
      },
    ],
  };
}
