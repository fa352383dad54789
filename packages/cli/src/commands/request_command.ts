/**
 * `request send PIPELINE`.
 *
 * @module
 */

import type { Command } from "commander";
import { CliError } from "../cli_error.js";
import { readUrls } from "../connection_options.js";
import { parseWholeNumber } from "../parse_whole_number.js";
import { sendRequest } from "../send_request.js";
import type { Terminal } from "../terminal.js";

interface SendOptions {
  readonly input: string;
  readonly stream?: boolean;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly key?: string;
  readonly json?: boolean;
}

/** Adds the command to the program. */
export function addRequestCommand(program: Command, terminal: Terminal): void {
  program.command("request")
    .description("requests as a caller sends them")
    .command("send")
    .argument("<pipeline>")
    .description("send one request and print its answer")
    .requiredOption("--input <json>", "the input of the first stage")
    .option("--stream", "print the answer's text as it comes")
    .option("--idempotency-key <key>", "runs at most once for each key")
    .option("--deadline-ms <n>", "the time for the whole", parseWholeNumber)
    .option("--key <key>", "client account key; else SASSAFRASSTAGE_KEY")
    .option("--json", "print the whole answer, or each event, as JSON")
    .action(
      async (pipeline: string, options: SendOptions, command: Command) => {
        const [url] = readUrls(command, terminal);
        const key = options.key ?? terminal.environment["SASSAFRASSTAGE_KEY"];
        if (url === undefined || key === undefined || key === "") {
          throw new CliError(
            "badUsage",
            "Give --key or set SASSAFRASSTAGE_KEY",
          );
        }
        const { idempotencyKey, deadlineMs } = options;
        await sendRequest(terminal, {
          url,
          pipeline,
          key,
          input: parseInput(options.input),
          isStream: options.stream === true,
          isJson: options.json === true,
          ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
          ...(deadlineMs === undefined ? {} : { deadlineMs }),
        });
      },
    );
}

function parseInput(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new CliError("badUsage", "--input is not JSON");
  }
}
