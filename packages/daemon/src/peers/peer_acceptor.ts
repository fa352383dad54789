/**
 * The TCP listener for other daemons, and the handling of each accepted
 * connection.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../clock.js";
import { listenOn } from "../net/listen_on.js";
import type { Logger } from "../observability/logger.js";
import type { Address } from "../settings/settings.js";
import { FrameChannel, MAX_BUFFERED_BYTES } from "./frame_channel.js";
import { acceptHandshake, type HandshakeOptions } from "./handshake.js";
import { PeerError } from "./peer_error.js";
import type { PeerLinks } from "./peer_links.js";

/**
 * Limit of connections whose handshake is not complete. Connections above it
 * are closed immediately.
 */
const MAX_UNAUTHENTICATED_CONNECTIONS = 256;

export interface PeerAcceptorOptions {
  readonly address: Address;
  /** Longest wait for a port that is held. */
  readonly portWaitMs: number;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly handshakeTimeoutMs: number;
  readonly handshakeOptions: () => HandshakeOptions;
  /** Called with the error that ended an accepted connection. */
  readonly onEnded: (error: PeerError) => void;
}

/** Accepts and authenticates connections from peers until it is closed. */
export class PeerAcceptor {
  readonly #options: PeerAcceptorOptions;
  readonly #server: Server;
  readonly #unauthenticated = new Set<FrameChannel>();

  constructor(options: PeerAcceptorOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      void this.#accept(socket);
    });
  }

  /** Starts listening and returns the bound address. */
  async listen(): Promise<Address> {
    const { address, portWaitMs, logger } = this.#options;
    await listenOn(this.#server, {
      address,
      purpose: "peers",
      maxWaitMs: portWaitMs,
      logger,
    });
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") {
      throw new TypeError("The peer listener has no TCP address");
    }
    return { host: address.host, port: bound.port };
  }

  async close(): Promise<void> {
    const reason = new PeerError(
      "connectionClosed",
      "The peer network is closing",
    );
    for (const channel of this.#unauthenticated) channel.destroy(reason);
    const closed = once(this.#server, "close");
    this.#server.close();
    await closed;
  }

  async #accept(socket: Socket): Promise<void> {
    const channel = new FrameChannel(socket, {
      maxBufferedBytes: MAX_BUFFERED_BYTES,
    });
    if (this.#unauthenticated.size >= MAX_UNAUTHENTICATED_CONNECTIONS) {
      channel.destroy(
        new PeerError("timeout", "Too many unauthenticated connections"),
      );
      return;
    }
    try {
      await this.#authenticateAndServe(channel);
    } catch (error) {
      if (!(error instanceof PeerError)) throw error;
      this.#options.onEnded(error);
      channel.destroy(error);
    }
  }

  async #authenticateAndServe(channel: FrameChannel): Promise<void> {
    const { handshakeOptions, handshakeTimeoutMs, clock, links } =
      this.#options;
    const timer = setTimeout(() => {
      channel.destroy(new PeerError("timeout", "The handshake timed out"));
    }, handshakeTimeoutMs);
    this.#unauthenticated.add(channel);
    try {
      const authenticated = await acceptHandshake(channel, handshakeOptions());
      const nowMs = clock.nowMs();
      clearTimeout(timer);
      this.#unauthenticated.delete(channel);
      await links.serve({
        identity: authenticated.identity,
        helloGeneration: authenticated.generation,
        dialedBy: authenticated.identity.vmId,
        channel,
        lastFrameAtMs: nowMs,
        lastUsedAtMs: nowMs,
      });
    } finally {
      clearTimeout(timer);
      this.#unauthenticated.delete(channel);
    }
  }
}
