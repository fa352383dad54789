/**
 * Handles signals, unexpected errors and the end of the process from its first
 * moment on.
 *
 * This module imports only what the runtime has loaded already, so that the
 * entry module can install the handlers before it loads the rest of the program.
 * By default, SIGHUP and SIGTERM end a process.
 *
 * @module
 */

import { writeSync } from "node:fs";

/** What the running program does. */
export interface ProcessHandlers {
  /** SIGTERM or SIGINT. */
  readonly onStop: (signal: NodeJS.Signals) => void;
  /** SIGHUP. */
  readonly onReload: () => void;
  /** An error that nothing caught. The process goes on. */
  readonly onUnexpectedError: (
    origin: NodeJS.UncaughtExceptionOrigin,
    error: unknown,
  ) => void;
  /** Writes the lines that are still to be written, before the last one. */
  readonly flushLogs: () => void;
}

const STDOUT_FILE_DESCRIPTOR = 1;
const EXIT_FAILURE = 1;

let running: ProcessHandlers | undefined;
let isReloadPending = false;
let exitReason = "exit";

/**
 * Installs the handlers, and logs `starting` once they are in force.
 *
 * Until `handleProcessEvents`, a signal to stop ends the process at once with
 * code 0, as it has accepted no work; one to reload is kept; and an error that
 * nothing caught ends it with code 1, as parts of it would be missing.
 */
export function installEarlyHandlers(): void {
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      if (running === undefined) exitProcess(signal, 0);
      else running.onStop(signal);
    });
  }
  process.on("SIGHUP", () => {
    if (running === undefined) isReloadPending = true;
    else running.onReload();
  });
  process.on("uncaughtException", handleUnexpectedError);
  process.on("exit", (code) => {
    running?.flushLogs();
    writeLine("info", `event=stopped reason=${exitReason} code=${code}`);
  });
  writeLine("info", `event=starting pid=${process.pid}`);
}

/** From now on, the handlers of the running program are called. */
export function handleProcessEvents(handlers: ProcessHandlers): void {
  running = handlers;
  if (!isReloadPending) return;
  isReloadPending = false;
  handlers.onReload();
}

/** Ends the process; its last log line names the reason. */
export function exitProcess(reason: string, code: number): never {
  exitReason = reason;
  process.exit(code);
}

/**
 * A running process goes on: its requests and connections don't depend on one
 * another, its end would cut all of them, and what one outsider provokes must not
 * end it. Rejected promises that nothing handles come here, too.
 */
function handleUnexpectedError(
  error: unknown,
  origin: NodeJS.UncaughtExceptionOrigin,
): void {
  if (running !== undefined) {
    running.onUnexpectedError(origin, error);
    return;
  }
  const { error: text, at } = describeUnexpectedError(error);
  const fields = `error=${JSON.stringify(text)} at=${JSON.stringify(at)}`;
  writeLine("error", `event=${origin} ${fields}`);
  exitProcess(origin, EXIT_FAILURE);
}

/** The error and the place in the code where it arose, for a log line. */
export function describeUnexpectedError(
  error: unknown,
): { readonly error: string; readonly at: string } {
  const stack = error instanceof Error ? error.stack ?? "" : "";
  const at = stack.split("\n").find((line) => /^\s+at /.test(line)) ?? "";
  return { error: String(error), at: at.trim() };
}

/** The logger isn't loaded yet, or its stream isn't written any more. */
function writeLine(level: string, fields: string): void {
  const time = new Date().toISOString();
  try {
    writeSync(
      STDOUT_FILE_DESCRIPTOR,
      `time=${time} level=${level} ${fields}\n`,
    );
  } catch {
    // The reader of the log has closed it, or reads too slowly.
  }
}
