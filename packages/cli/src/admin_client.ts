/**
 * Calls to the administration API of any of the given daemons.
 *
 * @module
 */

import type { HistoryEntry } from "@sassafrasstage/daemon/configuration/configuration_head";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { DaemonStatus } from "@sassafrasstage/protocol/status";
import { request } from "undici";
import { CliError } from "./cli_error.js";
import { toRefusal } from "./read_problem.js";

const CALL_TIMEOUT_MS = 30_000;

export interface AdminClientOptions {
  /** Base URLs of daemons; the first that can be reached is asked. */
  readonly urls: readonly string[];
  readonly adminKey: string;
}

export interface AcceptedChange {
  readonly generation: number;
  readonly changeId: string;
}

interface Call {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

/** One operator's way to the daemons. */
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
    const answer = await this.#call({ method: "GET", path });
    return (answer as { changes: HistoryEntry[] }).changes;
  }

  /** Posts a change and answers with the generation that holds it. */
  async change(path: string, body: unknown): Promise<AcceptedChange> {
    const call: Call = { method: "POST", path, body };
    return await this.#call(call) as AcceptedChange;
  }

  /** The status of each daemon that could be reached; at least one. */
  async readStatuses(): Promise<DaemonStatus[]> {
    const call: Call = { method: "GET", path: "/admin/v1/status" };
    const answers = await Promise.allSettled(
      this.#options.urls.map((url) => this.#callAt(url, call)),
    );
    const statuses: DaemonStatus[] = [];
    for (const answer of answers) {
      if (answer.status === "fulfilled") {
        statuses.push(answer.value as DaemonStatus);
      }
    }
    const [first] = answers;
    if (statuses.length === 0 && first?.status === "rejected") {
      throw first.reason;
    }
    return statuses;
  }

  async #call(call: Call): Promise<unknown> {
    let failure: unknown;
    for (const url of this.#options.urls) {
      try {
        return await this.#callAt(url, call);
      } catch (error) {
        const isUnreachable = error instanceof CliError &&
          error.failure === "unreachable";
        if (!isUnreachable) throw error;
        failure = error;
      }
    }
    throw failure;
  }

  async #callAt(url: string, call: Call): Promise<unknown> {
    const reply = await send(url, call, this.#options.adminKey);
    if (reply.status !== 200) throw toRefusal(reply.status, reply.text);
    try {
      return JSON.parse(reply.text);
    } catch (cause) {
      throw new CliError("unreachable", `${url} answered with no JSON`, {
        cause,
      });
    }
  }
}

interface Reply {
  readonly status: number;
  readonly text: string;
}

async function send(url: string, call: Call, adminKey: string): Promise<Reply> {
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
    throw new CliError("unreachable", `No answer from ${url}`, { cause });
  }
}
