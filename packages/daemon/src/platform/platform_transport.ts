/**
 * Makes single HTTP calls to the platform with a timeout, and converts failures
 * to `PlatformError`.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import {
  exchangeBuffered,
  type ResponseLimits,
} from "../http/buffered_exchange.js";
import { PlatformError, type PlatformErrorKind } from "./platform_error.js";

/** Status codes with which an overloaded platform refuses a call. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 503]);
const CONTENT_TOO_LARGE = 413;
/** Exceeds a page of a list with its largest objects. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Error codes of failures before the first byte of the request was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Error codes of a broken connection, as when the platform closes a keep-alive
 * connection at the moment it is reused.
 */
const BROKEN_CONNECTION_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

export interface PlatformCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export interface PlatformTransport {
  readonly dispatcher: Dispatcher;
  readonly limits: ResponseLimits;
}

export interface PlatformReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Sends the call and reads the whole reply. Rejects with a `PlatformError` on a
 * timeout or connection failure, and when the platform refuses the call because
 * of overload.
 */
export async function sendCall(
  transport: PlatformTransport,
  call: PlatformCall,
): Promise<PlatformReply> {
  const reply = await exchangeWithTimeout(transport, call);
  if (!OVERLOAD_STATUSES.has(reply.status)) return reply;
  throw refusalOf(reply);
}

/** Throws if the platform refused the call for its size. */
export function expectAcceptedSize(reply: PlatformReply): void {
  if (reply.status === CONTENT_TOO_LARGE) throw refusalOf(reply);
}

function refusalOf(reply: PlatformReply): PlatformError {
  return new PlatformError(
    "notDone",
    `The platform refused the call with status ${reply.status}`,
  );
}

/**
 * Combines timeout and `call.signal` by hand: `AbortSignal.any` would leak
 * memory on a long-lived signal.
 */
async function exchangeWithTimeout(
  transport: PlatformTransport,
  call: PlatformCall,
): Promise<PlatformReply> {
  const abort = new AbortController();
  function cancel(): void {
    abort.abort();
  }
  const timer = setTimeout(() => {
    abort.abort(
      new DOMException("The platform did not respond in time", "TimeoutError"),
    );
  }, call.timeoutMs);
  call.signal?.addEventListener("abort", cancel);
  if (call.signal?.aborted === true) cancel();
  try {
    return await exchange(transport, { ...call, signal: abort.signal });
  } finally {
    clearTimeout(timer);
    call.signal?.removeEventListener("abort", cancel);
  }
}

async function exchange(
  transport: PlatformTransport,
  call: PlatformCall & { readonly signal: AbortSignal },
): Promise<PlatformReply> {
  try {
    const url = new URL(call.url);
    return await exchangeBuffered(transport.dispatcher, {
      method: call.method,
      origin: url.origin,
      path: url.pathname + url.search,
      signal: call.signal,
      headers: call.headers ?? {},
      body: call.body,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }, transport.limits);
  } catch (cause) {
    throw new PlatformError(
      errorKindFor(call, cause),
      `The platform call ${call.method} brought no answer: ${
        codeOrNameOf(cause)
      }`,
      { cause },
    );
  }
}

function errorKindFor(call: PlatformCall, cause: unknown): PlatformErrorKind {
  if (call.method === "GET") return "notDone";
  return isNotConnected(cause) ? "notDone" : "outcomeUnknown";
}

function isNotConnected(cause: unknown): boolean {
  if (cause instanceof AggregateError) {
    return cause.errors.every(isNotConnected);
  }
  return hasCode(cause, NOT_CONNECTED_CODES);
}

/**
 * Whether the connection broke before a response arrived, so that a read can be
 * retried at once.
 */
export function isBrokenConnection(error: unknown): boolean {
  return error instanceof PlatformError &&
    hasCode(error.cause, BROKEN_CONNECTION_CODES);
}

/** Whether the call ended because there was no response in time. */
export function isTimeout(error: unknown): boolean {
  return error instanceof PlatformError && error.cause instanceof Error &&
    error.cause.name === "TimeoutError";
}

function hasCode(cause: unknown, codes: ReadonlySet<string>): boolean {
  return cause instanceof Error && "code" in cause &&
    typeof cause.code === "string" && codes.has(cause.code);
}

/** Code or name of the error; not its message, which may contain addresses. */
function codeOrNameOf(cause: unknown): string {
  if (!(cause instanceof Error)) return "unknown";
  if ("code" in cause && typeof cause.code === "string") return cause.code;
  return cause.name;
}

/** Parses and validates the JSON body of a reply. */
export function parseReply<Schema extends z.ZodType>(
  reply: PlatformReply,
  schema: Schema,
): z.infer<Schema> {
  const parsed = schema.safeParse(parseJson(reply));
  if (parsed.success) return parsed.data;
  throw unreadable(reply, parsed.error);
}

/** Creates the error for a status code that the call doesn't handle. */
export function unexpectedStatus(reply: PlatformReply): PlatformError {
  return new PlatformError(
    "outcomeUnknown",
    `The platform answered with the unexpected status ${reply.status}`,
  );
}

function parseJson(reply: PlatformReply): unknown {
  try {
    return JSON.parse(reply.text);
  } catch (cause) {
    throw unreadable(reply, cause);
  }
}

function unreadable(reply: PlatformReply, cause: unknown): PlatformError {
  return new PlatformError(
    "outcomeUnknown",
    `The platform's answer with status ${reply.status} is unreadable`,
    { cause },
  );
}
