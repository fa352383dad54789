/**
 * What all commands that change the configuration have in common.
 *
 * @module
 */

import type { Command } from "commander";
import type { AcceptedChange, AdminClient } from "../admin_client.js";
import type { Terminal } from "../terminal.js";
import { parseWholeNumber } from "../parse_whole_number.js";
import { waitForGeneration } from "../wait_for_generation.js";

const DEFAULT_WAIT_TIMEOUT_MS = 15_000;

export interface ChangeOptions {
  readonly wait?: boolean;
  readonly waitTimeoutMs: number;
  readonly changeId?: string;
  readonly note?: string;
  readonly json?: boolean;
}

/** Adds the options of every change. */
export function addChangeOptions(command: Command): Command {
  return command
    .option("--wait", "return when every live daemon reports it in force")
    .option(
      "--wait-timeout-ms <n>",
      "the longest wait",
      parseWholeNumber,
      DEFAULT_WAIT_TIMEOUT_MS,
    )
    .option("--change-id <id>", "makes a repeat of the command harmless")
    .option("--note <text>", "shown in the history")
    .option("--json", "print JSON");
}

/** The members of a change's body that the options give. */
export function changeBody(
  options: ChangeOptions,
  terminal: Terminal,
): Record<string, unknown> {
  const author = terminal.environment["USER"];
  return {
    ...(author === undefined || author === "" ? {} : { author }),
    ...(options.changeId === undefined ? {} : { changeId: options.changeId }),
    ...(options.note === undefined ? {} : { note: options.note }),
  };
}

export interface FinishedChange {
  readonly client: AdminClient;
  readonly terminal: Terminal;
  readonly options: ChangeOptions;
  readonly accepted: AcceptedChange;
}

/** Prints the accepted change and waits where that was asked for. */
export async function finishChange(change: FinishedChange): Promise<void> {
  const { client, terminal, options, accepted } = change;
  const { generation, changeId } = accepted;
  terminal.print(
    options.json === true
      ? `${JSON.stringify({ generation, changeId })}\n`
      : `Accepted as generation ${generation} (change ${changeId})\n`,
  );
  if (options.wait !== true) return;
  const timeoutMs = options.waitTimeoutMs;
  await waitForGeneration({ client, terminal, generation, timeoutMs });
}
