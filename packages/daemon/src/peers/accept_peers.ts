/**
 * The listener for other daemons, and the task of each connection that they
 * make.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../clock.js";
import type { Address } from "../settings/settings.js";
import { FrameChannel, MAX_BUFFERED_BYTES } from "./frame_channel.js";
import { acceptHandshake, type HandshakeOptions } from "./handshake.js";
import { PeerError } from "./peer_error.js";
import type { PeerLinks } from "./peer_links.js";

/** Connections that have proved nothing yet; more are closed at once. */
const MAX_UNPROVED_CONNECTIONS = 256;

export interface AcceptPeersOptions {
  readonly address: Address;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly handshakeTimeoutMs: number;
  readonly handshake: () => HandshakeOptions;
  readonly onEnded: (error: PeerError) => void;
}

/** Accepts connections of peers until it is closed. */
export class PeerAcceptor {
  readonly #options: AcceptPeersOptions;
  readonly #server: Server;
  readonly #unproved = new Set<FrameChannel>();

  constructor(options: AcceptPeersOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      void this.#accept(socket);
    });
  }

  /** Listens; returns the address as bound. */
  async listen(): Promise<Address> {
    const { host, port } = this.#options.address;
    this.#server.listen({ host, port });
    await once(this.#server, "listening");
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") {
      throw new TypeError("The peer listener has no TCP address");
    }
    return { host, port: bound.port };
  }

  async close(): Promise<void> {
    const reason = new PeerError("connectionClosed", "The network closed");
    for (const channel of this.#unproved) channel.destroy(reason);
    const closed = once(this.#server, "close");
    this.#server.close();
    await closed;
  }

  async #accept(socket: Socket): Promise<void> {
    const channel = new FrameChannel(socket, {
      maxBufferedBytes: MAX_BUFFERED_BYTES,
    });
    if (this.#unproved.size >= MAX_UNPROVED_CONNECTIONS) {
      channel.destroy(new PeerError("timeout", "Too many unproved peers"));
      return;
    }
    try {
      await this.#use(channel);
    } catch (error) {
      if (!(error instanceof PeerError)) throw error;
      this.#options.onEnded(error);
      channel.destroy(error);
    }
  }

  async #use(channel: FrameChannel): Promise<void> {
    const { handshake, handshakeTimeoutMs, clock, links } = this.#options;
    const timer = setTimeout(() => {
      channel.destroy(new PeerError("timeout", "The handshake took too long"));
    }, handshakeTimeoutMs);
    this.#unproved.add(channel);
    try {
      const proved = await acceptHandshake(channel, handshake());
      const nowMs = clock.nowMs();
      clearTimeout(timer);
      this.#unproved.delete(channel);
      await links.serve({
        identity: proved.identity,
        helloGeneration: proved.generation,
        dialedBy: proved.identity.vmId,
        channel,
        lastFrameAtMs: nowMs,
        lastUsedAtMs: nowMs,
      });
    } finally {
      clearTimeout(timer);
      this.#unproved.delete(channel);
    }
  }
}
