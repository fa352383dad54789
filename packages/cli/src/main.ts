/**
 * The command-line tool for operators.
 *
 * @module
 */

import { Command, CommanderError } from "commander";
import { CliError, EXIT_CODES, type ExitCode } from "./cli_error.js";
import { addConfigCommands } from "./commands/config_commands.js";
import { addLogsCommand } from "./commands/logs_command.js";
import { addAvailabilityCommands } from "./commands/availability_commands.js";
import { addRequestCommand } from "./commands/request_command.js";
import { addSettingsCommand } from "./commands/settings_command.js";
import { addStatusCommand } from "./commands/status_command.js";
import { createProcessTerminal, type Terminal } from "./terminal.js";

const EXIT_CODE_HELP = `
Exit codes: 0 done, 1 refused, 2 bad usage or file, 3 no daemon reached,
4 another change was accepted first, 5 accepted but not in force in time.`;

/**
 * Runs one command and resolves to the exit code of the process.
 *
 * @example
 * ```ts
 * process.exitCode = await main(["node", "sassafrasstage", "status"]);
 * ```
 */
export async function main(
  argv: readonly string[],
  terminal: Terminal = createProcessTerminal(),
): Promise<ExitCode> {
  try {
    await createProgram(terminal).parseAsync(argv);
    return EXIT_CODES.done;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.badUsage;
    }
    if (!(error instanceof CliError)) throw error;
    terminal.printMessage(error.message);
    return error.exitCode;
  }
}

function createProgram(terminal: Terminal): Command {
  const program = new Command("sassafrasstage")
    .description("operate running sassafrasstage daemons")
    .option(
      "--url <urls>",
      "base URLs of daemons, separated by commas; defaults to " +
        "SASSAFRASSTAGE_URL",
    )
    .option(
      "--admin-key <key>",
      "key of the administration API; defaults to SASSAFRASSTAGE_ADMIN_KEY",
    )
    .addHelpText("after", EXIT_CODE_HELP)
    .exitOverride()
    .configureOutput({
      writeOut: terminal.print,
      writeErr: (text) => {
        terminal.printMessage(text.trimEnd());
      },
    });
  addConfigCommands(program, terminal);
  addStatusCommand(program, terminal);
  addAvailabilityCommands(program, terminal);
  addRequestCommand(program, terminal);
  addSettingsCommand(program, terminal);
  addLogsCommand(program, terminal);
  return program;
}
