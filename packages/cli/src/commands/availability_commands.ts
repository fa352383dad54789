/**
 * `data-centre out|in NAME` and `backend-server out|in ID`.
 *
 * @module
 */

import type { Command } from "commander";
import { CliError } from "../cli_error.js";
import { createAdminClient } from "../connection_options.js";
import type { Terminal } from "../terminal.js";
import {
  addChangeOptions,
  buildChangeBody,
  type ChangeOptions,
  finishChange,
} from "./change_options.js";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

interface Target {
  readonly command: string;
  readonly argument: string;
  readonly path: string;
  readonly noun: string;
}

const TARGETS: readonly Target[] = [
  {
    command: "data-centre",
    argument: "<name>",
    path: "data-centres",
    noun: "data centre",
  },
  {
    command: "backend-server",
    argument: "<id>",
    path: "backend-servers",
    noun: "backend server",
  },
];

/** Adds the commands to the program. */
export function addAvailabilityCommands(
  program: Command,
  terminal: Terminal,
): void {
  for (const target of TARGETS) {
    const group = program.command(target.command)
      .description(`take a ${target.noun} out of service or put it back`);
    for (const direction of ["out", "in"] as const) {
      const command = group.command(direction)
        .argument(target.argument)
        .description(describeDirection(direction, target.noun));
      addChangeOptions(command).action(
        async (name: string, options: ChangeOptions, subcommand: Command) => {
          if (!NAME_PATTERN.test(name)) {
            throw new CliError(
              "badUsage",
              `"${name}" is not a valid name for a ${target.noun}`,
            );
          }
          const client = createAdminClient(subcommand, terminal);
          const accepted = await client.submitChange(
            `/admin/v1/${target.path}/${name}/${direction}`,
            buildChangeBody(options, terminal),
          );
          await finishChange({ client, terminal, options, accepted });
        },
      );
    }
  }
}

function describeDirection(direction: "out" | "in", noun: string): string {
  switch (direction) {
    case "out":
      return `stop sending new work to the ${noun}`;
    case "in":
      return `resume sending work to the ${noun}`;
  }
}
