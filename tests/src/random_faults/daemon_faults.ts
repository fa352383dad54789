/**
 * Injects faults into daemon processes: kill, freeze, and graceful shutdown, each
 * followed by a restart or resumption.
 *
 * @module
 */

import type { DaemonHandle } from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import type { ActiveFault, FaultContext } from "./fault.js";

const MAX_FAULTY_DAEMONS = 2;
const READY_TIMEOUT_MS = 20_000;

/** Ends a daemon by SIGKILL and restarts it later. */
export async function killDaemon(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const daemon = reserveDaemon(context);
  if (daemon === undefined) return undefined;
  context.history.kills.push({ vmId: daemon.vmId, atMs: Date.now() });
  await daemon.kill();
  return {
    description: `kill ${daemon.vmId}`,
    durationMs: context.random.nextInt(200, 3000),
    end: () => restart(context, daemon),
  };
}

/** Shuts a daemon down under load by SIGTERM and restarts it. */
export function shutDownDaemon(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const daemon = reserveDaemon(context);
  if (daemon === undefined) return Promise.resolve(undefined);
  const terminated = daemon.terminate();
  return Promise.resolve({
    description: `terminate ${daemon.vmId}`,
    durationMs: context.random.nextInt(200, 1000),
    end: async () => {
      const status = await terminated;
      if (status.code !== 0) {
        context.history.failedShutdowns.push(
          `${daemon.vmId} exited with ${String(status.code ?? status.signal)}`,
        );
      }
      await restart(context, daemon);
    },
  });
}

/** Suspends a daemon by SIGSTOP and resumes it later by SIGCONT. */
export function freezeDaemon(
  context: FaultContext,
): Promise<ActiveFault | undefined> {
  const daemon = reserveDaemon(context);
  if (daemon === undefined) return Promise.resolve(undefined);
  daemon.suspend();
  return Promise.resolve({
    description: `freeze ${daemon.vmId}`,
    durationMs: context.random.nextInt(200, 4000),
    end: () => {
      daemon.resume();
      context.faultyDaemons.delete(daemon.vmId);
      return Promise.resolve();
    },
  });
}

function reserveDaemon(context: FaultContext): DaemonHandle | undefined {
  const { cluster, faultyDaemons, random } = context;
  if (faultyDaemons.size >= MAX_FAULTY_DAEMONS) return undefined;
  const available = cluster.daemons.filter((daemon) =>
    daemon.isInService && !faultyDaemons.has(daemon.vmId)
  );
  if (available.length === 0) return undefined;
  const daemon = random.pick(available);
  faultyDaemons.add(daemon.vmId);
  return daemon;
}

async function restart(
  context: FaultContext,
  daemon: DaemonHandle,
): Promise<void> {
  await daemon.start();
  await daemon.waitUntilReady(READY_TIMEOUT_MS);
  context.faultyDaemons.delete(daemon.vmId);
}
