/**
 * Injects faults into the network and the platform.
 *
 * @module
 */

import type { LinkMode } from "@sassafrasstage/stand-ins/proxy/link_mode";
import type { ActiveFault, FaultContext, Interval } from "./fault.js";

const PASS: LinkMode = { kind: "pass" };

/** Disconnects two data centres from each other. */
export function partitionDataCentres(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const [a, b] = context.cluster.plan.dataCentres;
  if (a === undefined || b === undefined) return Promise.resolve(undefined);
  return startConnectivityFault(context, {
    name: "dataCentres",
    start: () => {
      context.cluster.cutDataCentres(a.name, b.name);
    },
    end: () => {
      context.cluster.cutDataCentres(a.name, b.name, PASS);
    },
  });
}

/** Disconnects a data centre from the platform. */
export function disconnectFromPlatform(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { name } = context.random.pick(context.cluster.plan.dataCentres);
  return startConnectivityFault(context, {
    name: `platform-${name}`,
    start: () => {
      context.cluster.cutFromPlatform(name);
    },
    end: () => {
      context.cluster.cutFromPlatform(name, PASS);
    },
  });
}

/** Makes the platform refuse connections. */
export function takePlatformDown(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { platform } = context.cluster;
  return startConnectivityFault(context, {
    name: "platform",
    start: () => platform.setFaults({ isDown: true }),
    end: () => platform.setFaults({ isDown: false }),
  });
}

/** Makes the platform slow and drops some of its responses to writes. */
export function slowPlatform(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { platform } = context.cluster;
  const slowMs = context.random.nextInt(50, 2500);
  return startConnectivityFault(context, {
    name: "platform-slow",
    start: () => platform.setFaults({ slowMs, lostAnswerRatio: 0.3 }),
    end: () => platform.setFaults({ slowMs: 0, lostAnswerRatio: 0 }),
  });
}

/** Discards the platform's watch history, so that watches have to list again. */
export async function trimHistory(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  await context.cluster.platform.trimHistory();
  return {
    description: "trim history",
    durationMs: 0,
    end: () => Promise.resolve(),
  };
}

/** Delays, half-opens, resets or cuts a VM's link to a backend server. */
export function injectLinkFault(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { cluster, random } = context;
  const { vmId } = random.pick(cluster.daemons);
  const target = random.pick(cluster.servers).id;
  const mode = random.pick<LinkMode>([
    { kind: "delay", delayMs: 50 },
    { kind: "halfOpen", dropped: "toSource" },
    { kind: "resetAfter", bytes: 700 },
    { kind: "cut" },
  ]);
  cluster.network.setLink(vmId, { target, mode });
  return Promise.resolve({
    description: `link ${vmId} to ${target} ${mode.kind}`,
    durationMs: random.nextInt(200, 2000),
    end: () => {
      cluster.network.setLink(vmId, { target, mode: PASS });
      return Promise.resolve();
    },
  });
}

interface ConnectivityFault {
  readonly name: string;
  readonly start: () => void | Promise<void>;
  readonly end: () => void | Promise<void>;
}

async function startConnectivityFault(
  context: FaultContext,
  fault: ConnectivityFault,
): Promise<ActiveFault | undefined> {
  if (context.connectivityFaults.has(fault.name)) return undefined;
  context.connectivityFaults.add(fault.name);
  updateIsolations(context);
  await fault.start();
  return {
    description: `connectivity fault ${fault.name}`,
    durationMs: context.random.nextInt(300, 4000),
    end: async () => {
      await fault.end();
      context.connectivityFaults.delete(fault.name);
      updateIsolations(context);
    },
  };
}

/**
 * Records when a data centre is isolated: no configuration change can reach it
 * while it is disconnected from the other data centre and the platform is
 * impaired.
 */
function updateIsolations(context: FaultContext): void {
  const { isolations } = context.history;
  const ongoing: Interval | undefined = isolations.find((interval) =>
    interval.toMs === undefined
  );
  const isIsolated = context.connectivityFaults.has("dataCentres") &&
    context.connectivityFaults.size > 1;
  if (isIsolated && ongoing === undefined) {
    isolations.push({ fromMs: Date.now() });
  } else if (!isIsolated && ongoing !== undefined) {
    ongoing.toMs = Date.now();
  }
}
