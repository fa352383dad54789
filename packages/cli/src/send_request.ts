/**
 * Sends one request to the callers' API and prints what comes.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";
import { CliError } from "./cli_error.js";
import { parseEventStream, type StreamEvent } from "./parse_event_stream.js";
import { toRefusal } from "./read_problem.js";
import type { Terminal } from "./terminal.js";

export interface CallerRequest {
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

/** Rejects with a `CliError` when the request is refused. */
export async function sendRequest(
  terminal: Terminal,
  callerRequest: CallerRequest,
): Promise<void> {
  const response = await send(callerRequest);
  if (response.statusCode !== 200) {
    throw toRefusal(response.statusCode, await readText(response));
  }
  const contentType = String(response.headers["content-type"]);
  if (contentType.startsWith("text/event-stream")) {
    await printStream(terminal, response, callerRequest.isJson);
    return;
  }
  const text = await readText(response);
  terminal.print(`${callerRequest.isJson ? text : formatAnswer(text)}\n`);
}

async function send(callerRequest: CallerRequest): Promise<Response> {
  const { url, pipeline, key, idempotencyKey, deadlineMs } = callerRequest;
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
        input: callerRequest.input,
        stream: callerRequest.isStream,
      }),
    });
  } catch (cause) {
    throw new CliError("unreachable", `No answer from ${url}`, { cause });
  }
}

async function readText(response: Response): Promise<string> {
  try {
    return await response.body.text();
  } catch (cause) {
    throw new CliError("unreachable", "The answer broke off", { cause });
  }
}

async function printStream(
  terminal: Terminal,
  response: Response,
  isJson: boolean,
): Promise<void> {
  response.body.setEncoding("utf8");
  let isWhole = false;
  try {
    for await (const event of parseEventStream(response.body)) {
      if (isJson) terminal.print(`${JSON.stringify(event)}\n`);
      else printEvent(terminal, event);
      if (event.event === "problem") {
        throw toRefusal(response.statusCode, JSON.stringify(event.data));
      }
      if (event.event === "answer") isWhole = true;
    }
  } catch (cause) {
    if (cause instanceof CliError) throw cause;
    throw new CliError("unreachable", "The answer broke off", { cause });
  }
  if (!isWhole) throw new CliError("unreachable", "The answer broke off");
}

function printEvent(terminal: Terminal, event: StreamEvent): void {
  switch (event.event) {
    case "token":
      terminal.print(readField(event.data, "text"));
      return;
    case "restart":
      terminal.print("\n");
      terminal.tell("The text so far is void: the stage is run again");
      return;
    case "answer":
      terminal.print("\n");
      terminal.tell(`Whole after ${readField(event.data, "totalMs")} ms`);
      return;
    default:
      return;
  }
}

function formatAnswer(text: string): string {
  return JSON.stringify(JSON.parse(text), null, 2);
}

function readField(data: unknown, name: string): string {
  if (typeof data !== "object" || data === null) return "";
  const value = (data as Readonly<Record<string, unknown>>)[name];
  if (typeof value === "number") return String(value);
  return typeof value === "string" ? value : "";
}
