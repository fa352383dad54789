/**
 * Waits until a generation is in force at every live daemon.
 *
 * @module
 */

import type { MemberStatus } from "@sassafrasstage/protocol/status";
import { setTimeout as sleep } from "node:timers/promises";
import type { AdminClient } from "./admin_client.js";
import { CliError } from "./cli_error.js";
import { mergeStatuses } from "./fleet_view.js";
import type { Terminal } from "./terminal.js";

const POLL_INTERVAL_MS = 150;

export interface GenerationWaitOptions {
  readonly client: AdminClient;
  readonly terminal: Terminal;
  readonly generation: number;
  readonly timeoutMs: number;
}

/**
 * Rejects with `waitTimedOut` when the timeout expires; the message lists the
 * daemons that don't report the generation.
 */
export async function waitForGeneration(
  options: GenerationWaitOptions,
): Promise<void> {
  const { terminal, generation } = options;
  const startedAtMs = performance.now();
  for (;;) {
    const daemons = await readDaemons(options);
    const live = daemons.filter((daemon) => daemon.state === "live");
    const behind = live.filter((daemon) => daemon.generation < generation);
    terminal.showProgress(
      `Generation ${generation}: in force at ${
        live.length - behind.length
      } of ${live.length} daemons`,
    );
    if (live.length > 0 && behind.length === 0) {
      terminal.showProgress("");
      printOutcome(options, daemons);
      return;
    }
    if (performance.now() - startedAtMs > options.timeoutMs) {
      terminal.showProgress("");
      throw createTimeoutError(
        options,
        daemons.filter(lacksGeneration(generation)),
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Returns an empty list if no daemon can be reached. */
async function readDaemons(
  options: GenerationWaitOptions,
): Promise<readonly MemberStatus[]> {
  try {
    return mergeStatuses(await options.client.readStatuses()).daemons;
  } catch (error) {
    const isUnreachable = error instanceof CliError &&
      error.failure === "unreachable";
    if (isUnreachable) return [];
    throw error;
  }
}

function printOutcome(
  options: GenerationWaitOptions,
  daemons: readonly MemberStatus[],
): void {
  const silent = daemons.filter((daemon) => daemon.state === "silent");
  options.terminal.printMessage(
    `Generation ${options.generation} is in force at every live daemon`,
  );
  if (silent.length === 0) return;
  options.terminal.printMessage(`No heartbeats from: ${formatDaemons(silent)}`);
}

function lacksGeneration(
  generation: number,
): (daemon: MemberStatus) => boolean {
  return (daemon) =>
    daemon.generation < generation &&
    (daemon.state === "live" || daemon.state === "silent");
}

function createTimeoutError(
  options: GenerationWaitOptions,
  behind: readonly MemberStatus[],
): CliError {
  const names = behind.length === 0
    ? "no daemon responds"
    : formatDaemons(behind);
  return new CliError(
    "waitTimedOut",
    `Generation ${options.generation} is accepted but not confirmed everywhere: ${names}`,
  );
}

function formatDaemons(daemons: readonly MemberStatus[]): string {
  return daemons
    .map((daemon) =>
      `${daemon.vmId} (${daemon.state}, generation ${daemon.generation})`
    )
    .join(", ");
}
