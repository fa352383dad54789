/**
 * `config apply|get|history`.
 *
 * @module
 */

import type { Command } from "commander";
import { createAdminClient } from "../connection_options.js";
import { formatTable } from "../format_table.js";
import { parseWholeNumber } from "../parse_whole_number.js";
import { readConfigurationFiles } from "../read_configuration_files.js";
import type { Terminal } from "../terminal.js";
import {
  addChangeOptions,
  buildChangeBody,
  type ChangeOptions,
  finishChange,
} from "./change_options.js";

interface ApplyOptions extends ChangeOptions {
  readonly basedOn?: number;
}

interface QueryOptions {
  readonly json?: boolean;
}

/** Adds the commands to the program. */
export function addConfigCommands(program: Command, terminal: Terminal): void {
  const config = program.command("config")
    .description("read and change the register and the rules");
  addApplyCommand(config, terminal);
  config.command("get")
    .description(
      "print the configuration in force, in the form that config apply reads",
    )
    .option("--json", "print it on one line")
    .action(async (options: QueryOptions, command: Command) => {
      const client = createAdminClient(command, terminal);
      const configuration = await client.readConfiguration();
      const indent = options.json === true ? 0 : 2;
      terminal.print(`${JSON.stringify(configuration, null, indent)}\n`);
    });
  config.command("history")
    .description("list the most recently accepted changes, newest first")
    .option("--json", "print JSON")
    .action(async (options: QueryOptions, command: Command) => {
      const changes = await createAdminClient(command, terminal).readHistory();
      if (options.json === true) {
        terminal.print(`${JSON.stringify(changes)}\n`);
        return;
      }
      const rows = changes.map((change) => [
        change.generation,
        change.acceptedAt,
        change.author,
        change.changeId,
        change.note ?? "",
      ]);
      const header = ["generation", "accepted at", "author", "change", "note"];
      terminal.print(formatTable([header, ...rows]));
    });
}

function addApplyCommand(config: Command, terminal: Terminal): void {
  const apply = config.command("apply")
    .argument(
      "<files...>",
      'JSON files with "register" and "rules"; "-" for stdin',
    )
    .description("replace the whole register and all rules")
    .option(
      "--based-on <generation>",
      "reject the change if another generation is in force; defaults to the " +
        "generation in a file written by config get",
      parseWholeNumber,
    );
  addChangeOptions(apply).action(
    async (files: string[], options: ApplyOptions, command: Command) => {
      const content = await readConfigurationFiles(files);
      const { generation, register, rules } = content;
      const basedOnGeneration = options.basedOn ?? generation;
      const client = createAdminClient(command, terminal);
      const accepted = await client.submitChange("/admin/v1/configuration", {
        register,
        rules,
        ...(basedOnGeneration === undefined ? {} : { basedOnGeneration }),
        ...buildChangeBody(options, terminal),
      });
      await finishChange({ client, terminal, options, accepted });
    },
  );
}
