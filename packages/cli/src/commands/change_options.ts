/**
 * The options and steps shared by all commands that change the configuration.
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

/** Adds the options shared by all commands that change the configuration. */
export function addChangeOptions(command: Command): Command {
  return command
    .option(
      "--wait",
      "wait until every live daemon reports the change in force",
    )
    .option(
      "--wait-timeout-ms <n>",
      "maximum time for --wait, in milliseconds",
      parseWholeNumber,
      DEFAULT_WAIT_TIMEOUT_MS,
    )
    .option(
      "--change-id <id>",
      "id of the change; makes it safe to repeat the command",
    )
    .option("--note <text>", "note to show in the history")
    .option("--json", "print JSON");
}

/** Builds the fields of the request body that the options set. */
export function buildChangeBody(
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

export interface SubmittedChange {
  readonly client: AdminClient;
  readonly terminal: Terminal;
  readonly options: ChangeOptions;
  readonly accepted: AcceptedChange;
}

/**
 * Prints the accepted change and, with `--wait`, waits until it is in force.
 */
export async function finishChange(change: SubmittedChange): Promise<void> {
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
