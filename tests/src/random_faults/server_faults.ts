/**
 * Faults of backend servers, and what operators do to them.
 *
 * @module
 */

import type { BackendServerFaults } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import type { ActiveFault, FaultContext, OutOfServiceInterval } from "./fault.js";

const MAX_SUBMISSIONS = 100;

/** Warmed up, it turns cold without warning. */
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

/** One of a backend server's own faults, for a while. */
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

/** An operator takes a data centre or a backend server out, and back. */
export async function takeOutOfService(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { cluster, history, random } = context;
  if (history.outOfServiceIntervals.some((interval) => interval.toMs === undefined)) return undefined;
  const isDataCentre = random.isHit(0.5);
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
    description: `take ${name} out${isAccepted ? "" : ", perhaps"}`,
    durationMs: isAccepted ? random.nextInt(3500, 6000) : 0,
    end: async () => {
      // From the first try on, any VM may already take it back in.
      interval.toMs = Date.now();
      await returnToService(context, path);
    },
  };
}

/** An answer may have been lost, so an unanswered move is made again. */
async function returnToService(
  context: FaultContext,
  path: string,
): Promise<void> {
  for (let attempt = 1; attempt <= MAX_SUBMISSIONS; attempt++) {
    if (await submitChange(context, `${path}/in`)) return;
    await pause();
  }
  throw new Error(`Not back in service: ${path}`);
}

/** Whether some daemon says that the change is accepted. */
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

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 200));
}
