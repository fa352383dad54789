/**
 * `config apply|get|history`.
 *
 * @module
 */

import type { Command } from "commander";
import { connectAdmin } from "../connection_options.js";
import { formatTable } from "../format_table.js";
import { parseWholeNumber } from "../parse_whole_number.js";
import { readConfigurationFiles } from "../read_configuration_files.js";
import type { Terminal } from "../terminal.js";
import {
  addChangeOptions,
  changeBody,
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
    .description("the register and the rules");
  addApply(config, terminal);
  config.command("get")
    .description("print the configuration in force, ready to edit and apply")
    .option("--json", "print it in one line")
    .action(async (options: QueryOptions, command: Command) => {
      const client = connectAdmin(command, terminal);
      const configuration = await client.readConfiguration();
      const indent = options.json === true ? 0 : 2;
      terminal.print(`${JSON.stringify(configuration, null, indent)}\n`);
    });
  config.command("history")
    .description("list the last accepted changes, the newest first")
    .option("--json", "print JSON")
    .action(async (options: QueryOptions, command: Command) => {
      const changes = await connectAdmin(command, terminal).readHistory();
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
      const head = ["generation", "accepted at", "author", "change", "note"];
      terminal.print(formatTable([head, ...rows]));
    });
}

function addApply(config: Command, terminal: Terminal): void {
  const apply = config.command("apply")
    .argument("<files...>", 'JSON with "register" and "rules"; "-" for stdin')
    .description("replace register and rules as a whole")
    .option(
      "--based-on <generation>",
      "refuse when another generation is in force; taken from a file that " +
        "config get wrote",
      parseWholeNumber,
    );
  addChangeOptions(apply).action(
    async (files: string[], options: ApplyOptions, command: Command) => {
      const content = await readConfigurationFiles(files);
      const { generation, register, rules } = content;
      const basedOnGeneration = options.basedOn ?? generation;
      const client = connectAdmin(command, terminal);
      const accepted = await client.change("/admin/v1/configuration", {
        register,
        rules,
        ...(basedOnGeneration === undefined ? {} : { basedOnGeneration }),
        ...changeBody(options, terminal),
      });
      await finishChange({ client, terminal, options, accepted });
    },
  );
}
