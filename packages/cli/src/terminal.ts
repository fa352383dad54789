/**
 * The environment and output of a command.
 *
 * @module
 */

import { createConsola } from "consola";

/** The parts of the process that a command uses. */
export interface Terminal {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Prints the result of the command. */
  readonly print: (text: string) => void;
  /** Prints a message to the operator, separate from the result. */
  readonly printMessage: (message: string) => void;
  /** Replaces the last progress line; does nothing without a terminal. */
  readonly showProgress: (line: string) => void;
}

/** Creates the terminal of the running process. */
export function createProcessTerminal(): Terminal {
  const { stdout, stderr } = process;
  const consola = createConsola({
    reporters: [{
      log: (entry) => stderr.write(`${entry.args.join(" ")}\n`),
    }],
  });
  return {
    environment: process.env,
    print: (text) => stdout.write(text),
    printMessage: (message) => {
      consola.info(message);
    },
    showProgress: (line) => {
      if (stderr.isTTY) stderr.write(`\r\u001b[K${line}`);
    },
  };
}
