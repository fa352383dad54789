/**
 * Waits until a generation is in force at every live daemon.
 *
 * @module
 */

import type { MemberStatus } from "@sassafrasstage/protocol/status";
import { setTimeout as sleep } from "node:timers/promises";
import type { AdminClient } from "./admin_client.js";
import { CliError } from "./cli_error.js";
import { joinStatuses } from "./fleet_view.js";
import type { Terminal } from "./terminal.js";

const POLL_INTERVAL_MS = 150;

export interface GenerationWait {
  readonly client: AdminClient;
  readonly terminal: Terminal;
  readonly generation: number;
  readonly timeoutMs: number;
}

/**
 * Rejects with `waitTimedOut`, naming those that don't report it, when the
 * time is over.
 */
export async function waitForGeneration(wait: GenerationWait): Promise<void> {
  const { terminal, generation } = wait;
  const startedAtMs = performance.now();
  for (;;) {
    const daemons = await readDaemons(wait);
    const live = daemons.filter((daemon) => daemon.state === "live");
    const behind = live.filter((daemon) => daemon.generation < generation);
    terminal.showProgress(
      `Generation ${generation}: in force at ${
        live.length - behind.length
      } of ${live.length} daemons`,
    );
    if (live.length > 0 && behind.length === 0) {
      terminal.showProgress("");
      tellOutcome(wait, daemons);
      return;
    }
    if (performance.now() - startedAtMs > wait.timeoutMs) {
      terminal.showProgress("");
      throw timedOut(wait, daemons.filter(isBehindOrUnheard(generation)));
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Nothing while none of the daemons answers. */
async function readDaemons(
  wait: GenerationWait,
): Promise<readonly MemberStatus[]> {
  try {
    return joinStatuses(await wait.client.readStatuses()).daemons;
  } catch (error) {
    const isUnreachable = error instanceof CliError &&
      error.failure === "unreachable";
    if (isUnreachable) return [];
    throw error;
  }
}

function tellOutcome(
  wait: GenerationWait,
  daemons: readonly MemberStatus[],
): void {
  const unheard = daemons.filter((daemon) => daemon.state === "silent");
  wait.terminal.tell(
    `Generation ${wait.generation} is in force at every live daemon`,
  );
  if (unheard.length === 0) return;
  wait.terminal.tell(`Not heard of: ${describe(unheard)}`);
}

function isBehindOrUnheard(
  generation: number,
): (daemon: MemberStatus) => boolean {
  return (daemon) =>
    daemon.generation < generation &&
    (daemon.state === "live" || daemon.state === "silent");
}

function timedOut(
  wait: GenerationWait,
  behind: readonly MemberStatus[],
): CliError {
  const names = behind.length === 0 ? "no daemon answers" : describe(behind);
  return new CliError(
    "waitTimedOut",
    `Generation ${wait.generation} is accepted but not reported by: ${names}`,
  );
}

function describe(daemons: readonly MemberStatus[]): string {
  return daemons
    .map((daemon) =>
      `${daemon.vmId} (${daemon.state}, generation ${daemon.generation})`
    )
    .join(", ");
}
