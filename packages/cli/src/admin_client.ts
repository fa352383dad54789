/**
 * A client of the daemons' administration API.
 *
 * @module
 */

import type { HistoryEntry } from "@sassafrasstage/daemon/configuration/configuration_head";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { DaemonStatus } from "@sassafrasstage/protocol/status";
import { request } from "undici";
import { CliError } from "./cli_error.js";
import { toCliError } from "./to_cli_error.js";

const CALL_TIMEOUT_MS = 30_000;

export interface AdminClientOptions {
  /** Base URLs of daemons, tried in order until one can be reached. */
  readonly urls: readonly string[];
  readonly adminKey: string;
}

export interface AcceptedChange {
  readonly generation: number;
  readonly changeId: string;
}

interface AdminCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

/** Calls the administration API with an operator's key. */
export class AdminClient {
  readonly #options: AdminClientOptions;

  constructor(options: AdminClientOptions) {
    this.#options = options;
  }

  async readConfiguration(): Promise<Configuration> {
    const path = "/admin/v1/configuration";
    return await this.#call({ method: "GET", path }) as Configuration;
  }

  async readHistory(): Promise<HistoryEntry[]> {
    const path = "/admin/v1/configuration/history";
    const response = await this.#call({ method: "GET", path });
    return (response as { changes: HistoryEntry[] }).changes;
  }

  /** Submits a change and returns the generation that contains it. */
  async submitChange(path: string, body: unknown): Promise<AcceptedChange> {
    const call: AdminCall = { method: "POST", path, body };
    return await this.#call(call) as AcceptedChange;
  }

  /** Reads the status of every reachable daemon; rejects if there is none. */
  async readStatuses(): Promise<DaemonStatus[]> {
    const call: AdminCall = { method: "GET", path: "/admin/v1/status" };
    const results = await Promise.allSettled(
      this.#options.urls.map((url) => this.#callDaemon(url, call)),
    );
    const statuses: DaemonStatus[] = [];
    for (const result of results) {
      if (result.status === "fulfilled") {
        statuses.push(result.value as DaemonStatus);
      }
    }
    const [first] = results;
    if (statuses.length === 0 && first?.status === "rejected") {
      throw first.reason;
    }
    return statuses;
  }

  async #call(call: AdminCall): Promise<unknown> {
    let failure: unknown;
    for (const url of this.#options.urls) {
      try {
        return await this.#callDaemon(url, call);
      } catch (error) {
        const isUnreachable = error instanceof CliError &&
          error.failure === "unreachable";
        if (!isUnreachable) throw error;
        failure = error;
      }
    }
    throw failure;
  }

  async #callDaemon(url: string, call: AdminCall): Promise<unknown> {
    const reply = await send(url, call, this.#options.adminKey);
    if (reply.status !== 200) throw toCliError(reply.status, reply.text);
    try {
      return JSON.parse(reply.text);
    } catch (cause) {
      throw new CliError(
        "unreachable",
        `The response from ${url} is not JSON`,
        { cause },
      );
    }
  }
}

interface AdminResponse {
  readonly status: number;
  readonly text: string;
}

async function send(
  url: string,
  call: AdminCall,
  adminKey: string,
): Promise<AdminResponse> {
  try {
    const response = await request(url.replace(/\/+$/, "") + call.path, {
      method: call.method,
      headers: {
        authorization: `Bearer ${adminKey}`,
        "content-type": "application/json",
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return { status: response.statusCode, text: await response.body.text() };
  } catch (cause) {
    throw new CliError("unreachable", `No response from ${url}`, { cause });
  }
}
