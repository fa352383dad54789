/**
 * Entry point of `sassafrasstaged`: reads the settings and runs the daemon
 * until it receives SIGTERM or SIGINT.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { Command } from "commander";
import { Daemon } from "./daemon.js";
import { createLogger, flushLogs } from "./observability/logger.js";
import {
  describeUnexpectedError,
  exitProcess,
  handleProcessEvents,
  logStart,
} from "./process/early_handlers.js";
import { formatSettingsFault, loadSettings } from "./settings/load_settings.js";
import type { Settings } from "./settings/settings.js";

const EXIT_START_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

interface MainOptions {
  readonly settings: string;
  readonly check?: true;
}

/**
 * Runs the program. Exit codes: 0 after a graceful shutdown, 1 when the daemon
 * can't start, 2 when the settings or arguments are invalid.
 *
 * @example
 * ```ts
 * await main(process.argv);
 * ```
 */
export async function main(argv: readonly string[]): Promise<void> {
  const program = new Command("sassafrasstaged")
    .description("Serves multi-stage model pipelines on one entry VM")
    .requiredOption("--settings <file>", "INI file with the settings")
    .option("--check", "only check the settings")
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : EXIT_INVALID_SETTINGS);
    });
  program.parse([...argv]);
  const options = program.opts<MainOptions>();
  const settings = await readSettings(options.settings);
  if (settings === undefined) {
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  if (options.check === true) {
    process.stdout.write(`${options.settings}: the settings are valid\n`);
    return;
  }
  await runDaemon(settings);
}

async function readSettings(path: string): Promise<Settings | undefined> {
  let text: string;
  try {
    text = await readFile(path, "utf8");
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    process.stderr.write(`Can't read the settings: ${detail}\n`);
    return undefined;
  }
  const check = loadSettings(text);
  if (check.kind === "valid") return check.settings;
  for (const fault of check.faults) {
    process.stderr.write(`${path}: ${formatSettingsFault(fault)}\n`);
  }
  return undefined;
}

async function runDaemon(settings: Settings): Promise<void> {
  logStart();
  let daemon: Daemon;
  try {
    daemon = await Daemon.start(settings);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    process.stderr.write(`Can't start: ${detail}\n`);
    exitProcess("startFailed", EXIT_START_FAILED);
  }
  const logger = createLogger(settings.log.level, { vm: settings.vm.id });
  handleProcessEvents({
    onStop: (signal) => {
      void daemon.shutDown().then(() => exitProcess(signal, 0));
    },
    onReload: () => {
      logger.warn("reloadNotSupported");
    },
    onUnexpectedError: (origin, error) => {
      logger.error(origin, describeUnexpectedError(error));
    },
    flushLogs,
  });
}
