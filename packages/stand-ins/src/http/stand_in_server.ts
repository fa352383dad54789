/**
 * The HTTP server of every stand-in: a data port that can be closed, and a
 * control port that stays reachable in the meantime.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import restana from "restana";

export type HttpRequest = IncomingMessage;
export type HttpResponse = ServerResponse;
export type HttpHandler = (
  request: HttpRequest,
  response: HttpResponse,
) => Promise<void> | void;

export type HttpMethod = "get" | "post" | "put" | "delete";

export interface Route {
  readonly method: HttpMethod;
  /** May end with "*" to match any suffix. */
  readonly path: string;
  readonly handler: HttpHandler;
}

export interface StandInRoutes {
  /** Served on the data port and subject to faults. */
  readonly data: readonly Route[];
  /**
   * Served on both ports. They aren't subject to faults, except that the data
   * port may be closed.
   */
  readonly control: readonly Route[];
}

const HOST = "127.0.0.1";
const REOPEN_ATTEMPTS = 50;
const REOPEN_DELAY_MS = 20;

/** The HTTP server of one stand-in. */
export class StandInServer {
  readonly #dataServer: Server;
  readonly #controlServer: Server;
  #dataPort = 0;
  #isDown = false;

  constructor(routes: StandInRoutes) {
    this.#dataServer = createRouter([...routes.control, ...routes.data]);
    this.#controlServer = createRouter(routes.control);
  }

  /** The URL that the system under test calls. */
  get url(): string {
    return `http://${HOST}:${this.#dataPort}`;
  }

  /** The URL of the control routes. */
  get controlUrl(): string {
    return `http://${HOST}:${portOf(this.#controlServer)}`;
  }

  async start(): Promise<void> {
    await listen(this.#controlServer, 0);
    await listen(this.#dataServer, 0);
    this.#dataPort = portOf(this.#dataServer);
  }

  /** Closes the data port and its connections, or reopens the port. */
  async setDown(isDown: boolean): Promise<void> {
    if (isDown === this.#isDown) return;
    this.#isDown = isDown;
    if (isDown) {
      await close(this.#dataServer);
      return;
    }
    await this.#reopen();
  }

  async stop(): Promise<void> {
    if (!this.#isDown) await close(this.#dataServer);
    await close(this.#controlServer);
  }

  async #reopen(): Promise<void> {
    for (let attempt = 1; attempt < REOPEN_ATTEMPTS; attempt++) {
      try {
        await listen(this.#dataServer, this.#dataPort);
        return;
      } catch {
        await new Promise((resolve) => setTimeout(resolve, REOPEN_DELAY_MS));
      }
    }
    await listen(this.#dataServer, this.#dataPort);
  }
}

function createRouter(routes: readonly Route[]): Server {
  const server = createServer({ keepAliveTimeout: 60_000 });
  const router = restana({ server, prioRequestsProcessing: false });
  for (const route of routes) {
    router[route.method](route.path, async (request, response) => {
      try {
        await route.handler(request, response);
      } catch (error) {
        answerError(response, error);
      }
    });
  }
  return server;
}

function answerError(response: HttpResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const message = error instanceof Error ? error.message : "Unknown error";
  sendJson(response, { status: 400, body: { message } });
}

function listen(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, HOST, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a JSON answer, unless the connection is closed. */
export function sendJson(response: HttpResponse, answer: JsonAnswer): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, {
    "content-type": "application/json",
    ...answer.headers,
  });
  response.end(JSON.stringify(answer.body));
}

/** Reads a JSON body; an empty body results in an empty object. */
export async function readJson(request: HttpRequest): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** The URL of a request, including its query parameters. */
export function urlOf(request: HttpRequest): URL {
  return new URL(request.url ?? "/", `http://${HOST}`);
}

/** The first value of a header. */
export function headerOf(
  request: HttpRequest,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
