/**
 * Defines the scenarios by name.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { Scenario, ScenarioName } from "./scenario.js";

const STEADY_LOAD_FRACTION = 0.7;
const OVERLOAD_FRACTION = 1.5;
const FULL_LOAD_FRACTION = 1;
/** Low enough for the other data centres to take over the load of one. */
const REDUCED_LOAD_FRACTION = 0.45;

/**
 * The runs of a scenario, in order. Overload begins with a run at full load as
 * the reference for its throughput.
 *
 * @example
 * ```ts
 * for (const run of getScenarioRuns("overload")) console.log(run.loadFraction);
 * ```
 */
export function getScenarioRuns(name: ScenarioName): Scenario[] {
  switch (name) {
    case "steady":
      return [{ name, loadFraction: STEADY_LOAD_FRACTION, events: [] }];
    case "overload":
      return [FULL_LOAD_FRACTION, OVERLOAD_FRACTION].map((loadFraction) => ({
        name,
        loadFraction,
        events: [],
      }));
    case "burst":
      return [{ name, loadFraction: 0.5, burstFraction: 1, events: [] }];
    case "cold-restart":
      return [makeColdRestartScenario(name)];
    case "vm-killed":
      return [makeVmKilledScenario(name)];
    case "data-centre-leaves-and-returns":
      return [makeDataCentreOutScenario(name)];
    case "platform-outage":
      return [makePlatformOutageScenario(name)];
  }
}

function makeColdRestartScenario(name: ScenarioName): Scenario {
  return {
    name,
    loadFraction: REDUCED_LOAD_FRACTION,
    events: [{
      name: "every third backend server turns cold",
      atFraction: 1 / 3,
      run: async (cluster) => {
        const cold = cluster.servers.filter((_, index) => index % 3 === 0);
        await Promise.all(cold.map((server) => server.turnCold()));
      },
    }],
  };
}

function makeVmKilledScenario(name: ScenarioName): Scenario {
  return {
    name,
    loadFraction: STEADY_LOAD_FRACTION,
    events: [
      {
        name: "the first entry VM is killed",
        atFraction: 1 / 3,
        run: async (cluster) => {
          await cluster.daemons[0]?.kill();
        },
      },
      {
        name: "it is started again",
        atFraction: 2 / 3,
        run: async (cluster) => {
          await cluster.daemons[0]?.start();
        },
      },
    ],
  };
}

export const TAKE_OUT_AT_FRACTION = 0.25;
export const BRING_BACK_AT_FRACTION = 0.6;

function makeDataCentreOutScenario(name: ScenarioName): Scenario {
  return {
    name,
    loadFraction: REDUCED_LOAD_FRACTION,
    events: [
      {
        name: "the data centre is taken out",
        atFraction: TAKE_OUT_AT_FRACTION,
        run: (cluster, deployment) =>
          submitDataCentresOut(cluster, [deployment.dataCentreTakenOut]),
      },
      {
        name: "the data centre is brought back with cold servers",
        atFraction: BRING_BACK_AT_FRACTION,
        run: async (cluster, deployment) => {
          const cold = cluster.servers.filter((server) =>
            server.dataCentre === deployment.dataCentreTakenOut
          );
          await Promise.all(cold.map((server) => server.turnCold()));
          await submitDataCentresOut(cluster, []);
        },
      },
    ],
  };
}

async function submitDataCentresOut(
  cluster: Cluster,
  dataCentresOut: string[],
): Promise<void> {
  const { register, rules } = cluster.configuration;
  const answer = await cluster.submitConfiguration({
    register,
    rules: { ...rules, dataCentresOut },
  });
  if (answer.status < 300) return;
  throw new Error(
    `The configuration was refused with status ${answer.status}: ${
      JSON.stringify(answer)
    }`,
  );
}

function makePlatformOutageScenario(name: ScenarioName): Scenario {
  return {
    name,
    loadFraction: 0.6,
    events: [
      {
        name: "the platform goes down",
        atFraction: 1 / 4,
        run: (cluster) => cluster.platform.setFaults({ isDown: true }),
      },
      {
        name: "the platform comes back",
        atFraction: 3 / 4,
        run: (cluster) => cluster.platform.setFaults({ isDown: false }),
      },
    ],
  };
}
