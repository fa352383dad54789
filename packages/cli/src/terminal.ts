/**
 * Where a command reads its surroundings from and writes to.
 *
 * @module
 */

import { createConsola } from "consola";

/** What a command needs of the process that runs it. */
export interface Terminal {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** The result of the command. */
  readonly print: (text: string) => void;
  /** A message for people, apart from the result. */
  readonly tell: (message: string) => void;
  /** Replaces the last progress line; does nothing without a terminal. */
  readonly showProgress: (line: string) => void;
}

/** The running process. */
export function processTerminal(): Terminal {
  const { stdout, stderr } = process;
  const consola = createConsola({
    reporters: [{
      log: (entry) => stderr.write(`${entry.args.join(" ")}\n`),
    }],
  });
  return {
    environment: process.env,
    print: (text) => stdout.write(text),
    tell: (message) => {
      consola.info(message);
    },
    showProgress: (line) => {
      if (stderr.isTTY) stderr.write(`\r\u001b[K${line}`);
    },
  };
}
