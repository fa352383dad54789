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
    .description("send requests as a client")
    .command("send")
    .argument("<pipeline>")
    .description("send one request and print the response")
    .requiredOption("--input <json>", "the input of the first stage")
    .option("--stream", "print the text of the response as it arrives")
    .option(
      "--idempotency-key <key>",
      "run the request at most once for this key",
    )
    .option(
      "--deadline-ms <n>",
      "deadline of the whole request, in milliseconds",
      parseWholeNumber,
    )
    .option("--key <key>", "client account key; defaults to SASSAFRASSTAGE_KEY")
    .option("--json", "print the whole response, or each event, as JSON")
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
