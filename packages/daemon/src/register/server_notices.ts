/**
 * Applies what backend servers say about themselves in their responses. It binds
 * this VM whatever the platform or peers say meanwhile.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ServerNotice } from "./server_notice.js";
import type { RegisteredServer, ServerRegister } from "./server_register.js";

export interface ServerNoticesOptions {
  readonly register: ServerRegister;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A server that asks for more is asked again after this time. */
const MAX_PAUSE_MS = 300_000;
/** Keeps VMs from coming back at the same time, as a fraction of the pause. */
const MAX_RETURN_SPREAD = 0.1;

export class ServerNotices {
  readonly #options: ServerNoticesOptions;
  readonly #timers = new Map<BackendServerId, NodeJS.Timeout>();

  constructor(options: ServerNoticesOptions) {
    this.#options = options;
  }

  /** @param source The request or call whose response holds the notice */
  record(server: RegisteredServer, notice: ServerNotice, source: string): void {
    if (notice.isLeaving) this.#recordLeaving(server, source);
    switch (notice.pause.kind) {
      case "none":
        return;
      case "requested":
        this.#pause(server, notice.pause.durationMs, source);
        return;
      case "invalid":
        this.#recordInvalid(server, notice.pause.text, source);
    }
  }

  close(): void {
    for (const timer of this.#timers.values()) clearTimeout(timer);
  }

  #recordLeaving(server: RegisteredServer, source: string): void {
    const { register, metrics, logger } = this.#options;
    if (!register.announceLeaving(server)) return;
    metrics.countEvent("serverSaidLeaving");
    logger.info("serverSaidLeaving", {
      server: server.id,
      startedAt: server.startedAt,
      request: source,
    });
  }

  #pause(server: RegisteredServer, requestedMs: number, source: string): void {
    const { register, clock, metrics, logger } = this.#options;
    const pauseMs = Math.min(requestedMs, MAX_PAUSE_MS);
    const spreadMs = pauseMs * MAX_RETURN_SPREAD * Math.random();
    const untilMs = clock.nowMs() + pauseMs + spreadMs;
    if (!register.pause(server, untilMs)) return;
    metrics.countEvent("serverPaused");
    logger.info("serverPaused", {
      server: server.id,
      startedAt: server.startedAt,
      request: source,
      requestedMs: Math.round(requestedMs),
      pauseMs: Math.round(pauseMs + spreadMs),
    });
    clearTimeout(this.#timers.get(server.id));
    this.#timers.set(
      server.id,
      setTimeout(() => {
        this.#timers.delete(server.id);
        register.endPause(server.id);
        logger.info("serverPauseEnded", { server: server.id });
      }, pauseMs + spreadMs),
    );
  }

  #recordInvalid(
    server: RegisteredServer,
    text: string,
    source: string,
  ): void {
    const { metrics, logger } = this.#options;
    metrics.countEvent("serverPauseInvalid");
    logger.warn("serverPauseInvalid", {
      server: server.id,
      request: source,
      text,
    });
  }
}
