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

/** Shown in columns of their own. */
const HEAD_FIELDS: ReadonlySet<string> = new Set([
  "time",
  "level",
  "event",
  "vm",
]);

/** Adds the command to the program. */
export function addLogsCommand(program: Command, terminal: Terminal): void {
  program.command("logs")
    .description("the daemons' logs")
    .command("trace")
    .argument("<request-id>", "the id of the client's request")
    .argument("<files...>", "logs of one or more daemons")
    .option("--context", "with what these daemons came to believe", false)
    .option("--json", "one JSON object a line", false)
    .description("one timeline of what the daemons did with a request")
    .action(
      async (requestId: string, files: string[], options: TraceOptions) => {
        const lines = (await Promise.all(files.map(readLog))).flat();
        const trace = traceRequest(lines, requestId);
        if (trace.length === 0) {
          throw new CliError(
            "refused",
            `No line of ${files.join(", ")} names the request ${requestId}`,
          );
        }
        const shown = options.context ? addContext(lines, trace) : trace;
        terminal.print(options.json ? toJson(shown) : toTable(shown));
      },
    );
}

async function readLog(file: string): Promise<LogLine[]> {
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
  const startedAtMs = lines[0]?.atMs ?? 0;
  return formatTable([
    ["ms", "vm", "event", "details"],
    ...lines.map((line) => [
      line.atMs - startedAtMs,
      line.vm,
      line.event,
      detailsOf(line),
    ]),
  ]);
}

function detailsOf(line: LogLine): string {
  return [...line.fields]
    .filter(([key]) => !HEAD_FIELDS.has(key))
    .map(([key, value]) => `${key}=${value}`)
    .join(" ");
}
