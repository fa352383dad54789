/**
 * `status`.
 *
 * @module
 */

import type { Command } from "commander";
import { createAdminClient } from "../connection_options.js";
import { mergeStatuses } from "../fleet_view.js";
import { formatFleet } from "../format_fleet.js";
import type { Terminal } from "../terminal.js";

/** Adds the command to the program. */
export function addStatusCommand(program: Command, terminal: Terminal): void {
  program.command("status")
    .description(
      "show daemons, the generation in force at each, pools and backend " +
        "servers; only a pool's owner knows its servers, so list the URLs of " +
        "all daemons in --url to see all servers",
    )
    .option("--json", "print JSON")
    .action(async (options: { json?: boolean }, command: Command) => {
      const client = createAdminClient(command, terminal);
      const fleet = mergeStatuses(await client.readStatuses());
      terminal.print(
        options.json === true
          ? `${JSON.stringify(fleet)}\n`
          : formatFleet(fleet),
      );
    });
}
