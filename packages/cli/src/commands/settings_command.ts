/**
 * `settings check FILE`.
 *
 * @module
 */

import {
  formatSettingsFault,
  loadSettings,
} from "@sassafrasstage/daemon/settings/load_settings";
import type { Command } from "commander";
import { readFile } from "node:fs/promises";
import { CliError } from "../cli_error.js";
import type { Terminal } from "../terminal.js";

/** Adds the command to the program. */
export function addSettingsCommand(
  program: Command,
  terminal: Terminal,
): void {
  program.command("settings")
    .description("work with a daemon's settings")
    .command("check")
    .argument("<file>", "an INI file")
    .description("check a daemon's settings file without starting a daemon")
    .action(async (file: string) => {
      const check = loadSettings(await readText(file));
      if (check.kind === "valid") {
        terminal.print(`${file} is valid\n`);
        return;
      }
      const lines = check.faults.map((fault) =>
        `  ${formatSettingsFault(fault)}`
      );
      throw new CliError(
        "badUsage",
        [`${file} is invalid`, ...lines].join("\n"),
      );
    });
}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    throw new CliError("badUsage", `${file} can't be read`, { cause });
  }
}
