/**
 * Injects faults into backend servers, and takes them out of service as an
 * operator does.
 *
 * @module
 */

import type { BackendServerFaults } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import type {
  ActiveFault,
  FaultContext,
  OutOfServiceInterval,
} from "./fault.js";

const MAX_SUBMISSIONS = 100;

/** Makes a backend server cold without warning, even if it has warmed up. */
export async function turnServerCold(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const server = context.random.pick(context.cluster.servers);
  await server.turnCold();
  return {
    description: `turn ${server.id} cold`,
    durationMs: 0,
    end: () => Promise.resolve(),
  };
}

/** Injects one of the faults that a stand-in backend server can simulate. */
export async function injectServerFault(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { random } = context;
  const server = random.pick(context.cluster.servers);
  const [faults, restored] = random.pick<
    [Partial<BackendServerFaults>, Partial<BackendServerFaults>]
  >([
    [{ failRatio: 0.3 }, { failRatio: 0 }],
    [{ wrongEchoRatio: 0.3 }, { wrongEchoRatio: 0 }],
    [{ breakRatio: 0.3 }, { breakRatio: 0 }],
    [{ slowFactor: 6 }, { slowFactor: 1 }],
    [{ isFrozen: true }, { isFrozen: false }],
    [{ isRefusing: true }, { isRefusing: false }],
    [{ isDown: true }, { isDown: false }],
  ]);
  await server.setFaults(faults);
  return {
    description: `${server.id} ${JSON.stringify(faults)}`,
    durationMs: random.nextInt(200, 3000),
    end: () => server.setFaults(restored),
  };
}

/** Takes a data centre or a backend server out of service, and back later. */
export async function takeOutOfService(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { cluster, history, random } = context;
  if (
    history.outOfServiceIntervals.some((interval) =>
      interval.toMs === undefined
    )
  ) return undefined;
  const isDataCentre = random.nextBoolean(0.5);
  const name = isDataCentre
    ? random.pick(cluster.plan.dataCentres).name
    : random.pick(cluster.servers).id;
  const kind = isDataCentre ? "dataCentre" : "backendServer";
  const path = isDataCentre
    ? `/admin/v1/data-centres/${name}`
    : `/admin/v1/backend-servers/${name}`;
  const isAccepted = await submitChange(context, `${path}/out`);
  const interval: OutOfServiceInterval = { kind, name, fromMs: Date.now() };
  if (isAccepted) history.outOfServiceIntervals.push(interval);
  return {
    description: `take ${name} out of service${
      isAccepted ? "" : " (outcome unknown)"
    }`,
    durationMs: isAccepted ? random.nextInt(3500, 6000) : 0,
    end: async () => {
      // From the first attempt on, any VM may already have the change in force.
      interval.toMs = Date.now();
      await returnToService(context, path);
    },
  };
}

/** Repeats the change until it is confirmed, as a response may get lost. */
async function returnToService(
  context: FaultContext,
  path: string,
): Promise<void> {
  for (let attempt = 1; attempt <= MAX_SUBMISSIONS; attempt++) {
    if (await submitChange(context, `${path}/in`)) return;
    await sleep();
  }
  throw new Error(`Failed to return to service: ${path}`);
}

/** Submits a change through a random daemon; returns whether it was confirmed. */
async function submitChange(
  context: FaultContext,
  path: string,
): Promise<boolean> {
  const available = context.cluster.daemons.filter((daemon) =>
    daemon.isInService && !context.faultyDaemons.has(daemon.vmId)
  );
  if (available.length === 0) return false;
  try {
    const answer = await context.random.pick(available).admin(path, {
      method: "POST",
      body: {},
    });
    return answer.status === 200;
  } catch {
    return false;
  }
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 200));
}
