/**
 * Starts a listener. A port may be held for a while by the previous process or
 * by an outgoing connection that the kernel gave the port to, so it is tried
 * again for a limited time.
 *
 * @module
 */

import type { Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Address } from "../settings/settings.js";

const RETRY_INTERVAL_MS = 100;
/** Of the log lines of one wait. */
const REPORT_INTERVAL_MS = 1000;
/** The address isn't assigned to this machine, or not yet. */
const RETRIED_CODES: readonly unknown[] = ["EADDRINUSE", "EADDRNOTAVAIL"];
const DEFAULT_BACKLOG = 1024;

export interface ListenOptions {
  readonly address: Address;
  /** What connects to it, for the log. */
  readonly purpose: "clients" | "readiness" | "peers" | "metrics";
  /** Longest time to wait for a port that is held. */
  readonly maxWaitMs: number;
  readonly logger: Logger;
}

/** No listener could be started at an address. */
export class ListenError extends Error {
  constructor({ address, purpose }: ListenOptions, cause: unknown) {
    const code = codeOf(cause) ?? String(cause);
    super(
      `Can't listen for ${purpose} at ${address.host}:${address.port}: ${code}`,
      { cause },
    );
    this.name = "ListenError";
  }
}

/**
 * Resolves once the server listens; rejects with a `ListenError`. Errors that
 * the listener has later, such as a lack of file descriptors for a connection,
 * are logged.
 *
 * @example
 * ```ts
 * await listenOn(server, {
 *   address: { host: "10.0.0.1", port: 7740 },
 *   purpose: "peers",
 *   maxWaitMs: 15_000,
 *   logger,
 * });
 * ```
 */
export async function listenOn(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  const { address, purpose, maxWaitMs, logger } = options;
  const startedAtMs = MONOTONIC_CLOCK.nowMs();
  let nextReportAtMs = startedAtMs;
  const fields = { purpose, host: address.host, port: address.port };
  for (;;) {
    const error = await tryListen(server, address);
    const nowMs = MONOTONIC_CLOCK.nowMs();
    const waitedMs = Math.round(nowMs - startedAtMs);
    if (error === undefined) {
      if (nextReportAtMs > startedAtMs) {
        logger.info("portFree", { ...fields, waitedMs });
      }
      break;
    }
    if (!RETRIED_CODES.includes(codeOf(error)) || waitedMs >= maxWaitMs) {
      throw new ListenError(options, error);
    }
    if (nowMs >= nextReportAtMs) {
      nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
      const code = codeOf(error);
      logger.warn("portHeld", { ...fields, code, waitedMs, maxWaitMs });
    }
    await sleep(RETRY_INTERVAL_MS);
  }
  server.on("error", (error) => {
    logger.error("listenerFailed", { ...fields, error: String(error) });
  });
}

function tryListen(
  server: Server,
  { host, port }: Address,
): Promise<Error | undefined> {
  return new Promise((resolve) => {
    function finish(error?: Error): void {
      server.off("error", finish);
      server.off("listening", finish);
      resolve(error);
    }
    server.once("error", finish);
    server.once("listening", finish);
    server.listen({ host, port, backlog: DEFAULT_BACKLOG });
  });
}

function codeOf(error: unknown): string | undefined {
  if (!(error instanceof Error) || !("code" in error)) return undefined;
  return String(error.code);
}
