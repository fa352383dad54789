/**
 * `status`.
 *
 * @module
 */

import type { Command } from "commander";
import { connectAdmin } from "../connection_options.js";
import { joinStatuses } from "../fleet_view.js";
import { formatFleet } from "../format_fleet.js";
import type { Terminal } from "../terminal.js";

/** Adds the command to the program. */
export function addStatusCommand(program: Command, terminal: Terminal): void {
  program.command("status")
    .description(
      "show daemons, the generation in force at each, pools and backend " +
        "servers; a pool's servers are known to its owner, so give --url " +
        "the URLs of all daemons to see all",
    )
    .option("--json", "print JSON")
    .action(async (options: { json?: boolean }, command: Command) => {
      const client = connectAdmin(command, terminal);
      const fleet = joinStatuses(await client.readStatuses());
      terminal.print(
        options.json === true
          ? `${JSON.stringify(fleet)}\n`
          : formatFleet(fleet),
      );
    });
}
