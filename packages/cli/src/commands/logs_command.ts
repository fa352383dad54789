/**
 * `logs trace REQUEST_ID FILE...`.
 *
 * @module
 */

import type { Command } from "commander";
import { readFile } from "node:fs/promises";
import { CliError } from "../cli_error.js";
import { formatTable } from "../format_table.js";
import { type LogLine, parseLogLine } from "../logs/parse_log_line.js";
import { addContext, traceRequest } from "../logs/trace_request.js";
import type { Terminal } from "../terminal.js";

interface TraceOptions {
  readonly context: boolean;
  readonly json: boolean;
}

/** Fields that the details column leaves out. */
const NON_DETAIL_FIELDS: ReadonlySet<string> = new Set([
  "time",
  "level",
  "event",
  "vm",
]);

/** Adds the command to the program. */
export function addLogsCommand(program: Command, terminal: Terminal): void {
  program.command("logs")
    .description("read the daemons' logs")
    .command("trace")
    .argument("<request-id>", "the id of the client's request")
    .argument("<files...>", "log files of one or more daemons")
    .option(
      "--context",
      "include events that changed these daemons' view of the fleet",
      false,
    )
    .option("--json", "print one JSON object per line", false)
    .description("show what the daemons did with a request on one timeline")
    .action(
      async (requestId: string, files: string[], options: TraceOptions) => {
        const lines = (await Promise.all(files.map(readLogFile))).flat();
        const trace = traceRequest(lines, requestId);
        if (trace.length === 0) {
          throw new CliError(
            "refused",
            `No line in ${
              files.join(", ")
            } contains the request id ${requestId}`,
          );
        }
        const shown = options.context ? addContext(lines, trace) : trace;
        terminal.print(options.json ? toJson(shown) : toTable(shown));
      },
    );
}

async function readLogFile(file: string): Promise<LogLine[]> {
  try {
    const text = await readFile(file, "utf8");
    return text.split("\n").flatMap((line) => parseLogLine(line) ?? []);
  } catch (cause) {
    throw new CliError("badUsage", `${file} can't be read`, { cause });
  }
}

function toJson(lines: readonly LogLine[]): string {
  return lines
    .map((line) => `${JSON.stringify(Object.fromEntries(line.fields))}\n`)
    .join("");
}

function toTable(lines: readonly LogLine[]): string {
  const startedAtMs = lines[0]?.timestampMs ?? 0;
  return formatTable([
    ["ms", "vm", "event", "details"],
    ...lines.map((line) => [
      line.timestampMs - startedAtMs,
      line.vm,
      line.event,
      formatDetails(line),
    ]),
  ]);
}

function formatDetails(line: LogLine): string {
  return [...line.fields]
    .filter(([key]) => !NON_DETAIL_FIELDS.has(key))
    .map(([key, value]) => `${key}=${value}`)
    .join(" ");
}
