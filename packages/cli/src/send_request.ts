/**
 * Sends one request to the pipeline API and prints the response.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";
import { CliError } from "./cli_error.js";
import { parseEventStream, type StreamEvent } from "./parse_event_stream.js";
import { toCliError } from "./to_cli_error.js";
import type { Terminal } from "./terminal.js";

export interface PipelineRequest {
  readonly url: string;
  readonly pipeline: string;
  readonly key: string;
  readonly input: unknown;
  readonly isStream: boolean;
  readonly isJson: boolean;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

type Response = Dispatcher.ResponseData;

/**
 * Rejects with a `CliError` if the request is refused or the response fails.
 */
export async function sendRequest(
  terminal: Terminal,
  pipelineRequest: PipelineRequest,
): Promise<void> {
  const response = await send(pipelineRequest);
  if (response.statusCode !== 200) {
    throw toCliError(response.statusCode, await readText(response));
  }
  const contentType = String(response.headers["content-type"]);
  if (contentType.startsWith("text/event-stream")) {
    await printStream(terminal, response, pipelineRequest.isJson);
    return;
  }
  const text = await readText(response);
  terminal.print(`${pipelineRequest.isJson ? text : formatResponse(text)}\n`);
}

async function send(pipelineRequest: PipelineRequest): Promise<Response> {
  const { url, pipeline, key, idempotencyKey, deadlineMs } = pipelineRequest;
  const path = `/v1/pipelines/${encodeURIComponent(pipeline)}`;
  try {
    return await request(url.replace(/\/+$/, "") + path, {
      method: "POST",
      headers: {
        authorization: `Bearer ${key}`,
        "content-type": "application/json",
        ...(idempotencyKey === undefined
          ? {}
          : { "idempotency-key": idempotencyKey }),
        ...(deadlineMs === undefined
          ? {}
          : { "deadline-ms": String(deadlineMs) }),
      },
      body: JSON.stringify({
        input: pipelineRequest.input,
        stream: pipelineRequest.isStream,
      }),
    });
  } catch (cause) {
    throw new CliError("unreachable", `No response from ${url}`, { cause });
  }
}

async function readText(response: Response): Promise<string> {
  try {
    return await response.body.text();
  } catch (cause) {
    throw new CliError("unreachable", "Incomplete response", { cause });
  }
}

async function printStream(
  terminal: Terminal,
  response: Response,
  isJson: boolean,
): Promise<void> {
  response.body.setEncoding("utf8");
  let isComplete = false;
  try {
    for await (const event of parseEventStream(response.body)) {
      if (isJson) terminal.print(`${JSON.stringify(event)}\n`);
      else printEvent(terminal, event);
      if (event.event === "problem") {
        throw toCliError(response.statusCode, JSON.stringify(event.data));
      }
      if (event.event === "answer") isComplete = true;
    }
  } catch (cause) {
    if (cause instanceof CliError) throw cause;
    throw new CliError("unreachable", "Incomplete response", { cause });
  }
  if (!isComplete) throw new CliError("unreachable", "Incomplete response");
}

function printEvent(terminal: Terminal, event: StreamEvent): void {
  switch (event.event) {
    case "token":
      terminal.print(readField(event.data, "text"));
      return;
    case "restart":
      terminal.print("\n");
      terminal.printMessage("Discard the text so far: the stage is run again");
      return;
    case "answer":
      terminal.print("\n");
      terminal.printMessage(
        `Completed after ${readField(event.data, "totalMs")} ms`,
      );
      return;
    default:
      return;
  }
}

function formatResponse(text: string): string {
  return JSON.stringify(JSON.parse(text), null, 2);
}

function readField(data: unknown, name: string): string {
  if (typeof data !== "object" || data === null) return "";
  const value = (data as Readonly<Record<string, unknown>>)[name];
  if (typeof value === "number") return String(value);
  return typeof value === "string" ? value : "";
}
