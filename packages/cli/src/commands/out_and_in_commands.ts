/**
 * `data-centre out|in NAME` and `backend-server out|in ID`.
 *
 * @module
 */

import type { Command } from "commander";
import { CliError } from "../cli_error.js";
import { connectAdmin } from "../connection_options.js";
import type { Terminal } from "../terminal.js";
import {
  addChangeOptions,
  changeBody,
  type ChangeOptions,
  finishChange,
} from "./change_options.js";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

interface Subject {
  /** The command and its argument. */
  readonly command: string;
  readonly argument: string;
  readonly path: string;
  readonly noun: string;
}

const SUBJECTS: readonly Subject[] = [
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
export function addOutAndInCommands(
  program: Command,
  terminal: Terminal,
): void {
  for (const subject of SUBJECTS) {
    const group = program.command(subject.command)
      .description(`take a ${subject.noun} out of service and back`);
    for (const direction of ["out", "in"] as const) {
      const command = group.command(direction)
        .argument(subject.argument)
        .description(describeDirection(direction, subject.noun));
      addChangeOptions(command).action(
        async (name: string, options: ChangeOptions, self: Command) => {
          if (!NAME_PATTERN.test(name)) {
            throw new CliError("badUsage", `"${name}" is no ${subject.noun}`);
          }
          const client = connectAdmin(self, terminal);
          const accepted = await client.change(
            `/admin/v1/${subject.path}/${name}/${direction}`,
            changeBody(options, terminal),
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
      return `stop new work to the ${noun}`;
    case "in":
      return `give the ${noun} work again`;
  }
}
