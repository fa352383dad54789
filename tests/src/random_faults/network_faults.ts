/**
 * Faults of the network and the platform.
 *
 * @module
 */

import type { LinkMode } from "@sassafrasstage/stand-ins/proxy/link_mode";
import type { ActiveFault, FaultContext, Span } from "./fault.js";

const PASS: LinkMode = { kind: "pass" };

/** Cuts one data centre from another. */
export function cutDataCentres(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const [a, b] = context.cluster.plan.dataCentres;
  if (a === undefined || b === undefined) return Promise.resolve(undefined);
  return startCut(context, {
    name: "dataCentres",
    start: () => {
      context.cluster.cutDataCentres(a.name, b.name);
    },
    end: () => {
      context.cluster.cutDataCentres(a.name, b.name, PASS);
    },
  });
}

/** Cuts a data centre from the platform. */
export function cutFromPlatform(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { name } = context.random.pick(context.cluster.plan.dataCentres);
  return startCut(context, {
    name: `platform-${name}`,
    start: () => {
      context.cluster.cutFromPlatform(name);
    },
    end: () => {
      context.cluster.cutFromPlatform(name, PASS);
    },
  });
}

/** The platform refuses connections. */
export function takePlatformDown(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { platform } = context.cluster;
  return startCut(context, {
    name: "platform",
    start: () => platform.setFaults({ isDown: true }),
    end: () => platform.setFaults({ isDown: false }),
  });
}

/** The platform is slow and loses answers to writes. */
export function slowPlatform(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const { platform } = context.cluster;
  const slowMs = context.random.nextInt(50, 2500);
  return startCut(context, {
    name: "platform-slow",
    start: () => platform.setFaults({ slowMs, lostAnswerRatio: 0.3 }),
    end: () => platform.setFaults({ slowMs: 0, lostAnswerRatio: 0 }),
  });
}

/** Watches are too old and have to list again. */
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

/** One VM's link to one backend server is delayed, half open or reset. */
export function disturbLink(
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

interface Cut {
  readonly name: string;
  readonly start: () => void | Promise<void>;
  readonly end: () => void | Promise<void>;
}

async function startCut(
  context: FaultContext,
  cut: Cut,
): Promise<ActiveFault | undefined> {
  if (context.cuts.has(cut.name)) return undefined;
  context.cuts.add(cut.name);
  noteIsolation(context);
  await cut.start();
  return {
    description: `cut ${cut.name}`,
    durationMs: context.random.nextInt(300, 4000),
    end: async () => {
      await cut.end();
      context.cuts.delete(cut.name);
      noteIsolation(context);
    },
  };
}

/** Cut from the others and from the platform, a data centre hears nothing. */
function noteIsolation(context: FaultContext): void {
  const { isolations } = context.history;
  const open: Span | undefined = isolations.find((span) =>
    span.toMs === undefined
  );
  const isIsolated = context.cuts.has("dataCentres") && context.cuts.size > 1;
  if (isIsolated && open === undefined) {
    isolations.push({ fromMs: Date.now() });
  } else if (!isIsolated && open !== undefined) {
    open.toMs = Date.now();
  }
}
