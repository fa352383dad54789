/**
 * A fault-injecting TCP proxy with one listener for one target, and a mode for
 * each source that connects to it.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { type LinkMode, PASS } from "./link_mode.js";
import { type Endpoint, ProxiedConnection } from "./proxied_connection.js";

export interface TcpProxyOptions {
  readonly target: Endpoint;
  /** Finds the name of a source by its address. */
  readonly findSource?: (address: string) => string | undefined;
}

interface OpenConnection {
  readonly source: string | undefined;
  readonly connection: ProxiedConnection;
}

const HOST = "127.0.0.1";
const PROBE_INTERVAL_MS = 25;

/**
 * A proxy for one target.
 *
 * @example
 * ```ts
 * const proxy = new TcpProxy({ target: { host: "127.0.0.1", port: 9000 } });
 * await proxy.start();
 * proxy.setMode({ kind: "delay", delayMs: 20 });
 * ```
 */
export class TcpProxy {
  readonly #target: Endpoint;
  readonly #findSource: (address: string) => string | undefined;
  readonly #server = createServer({ allowHalfOpen: true });
  readonly #openConnections = new Set<OpenConnection>();
  readonly #modes = new Map<string, LinkMode>();
  #defaultMode: LinkMode = PASS;
  #port = 0;
  #isStopped = false;
  #isProbing = false;
  #connections = 0;

  constructor(options: TcpProxyOptions) {
    this.#target = options.target;
    this.#findSource = options.findSource ?? (() => undefined);
    this.#server.on("connection", (socket) => {
      this.#accept(socket);
    });
  }

  get port(): number {
    return this.#port;
  }

  /** "host:port" of the listener. */
  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  get connections(): number {
    return this.#connections;
  }

  async start(): Promise<void> {
    await this.#listen(0);
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Sets the mode of one source, or the default mode of all other sources. */
  setMode(mode: LinkMode, source?: string): void {
    if (source === undefined) this.#defaultMode = mode;
    else this.#modes.set(source, mode);
    for (const entry of this.#openConnections) {
      entry.connection.setMode(this.#modeOf(entry.source));
    }
  }

  /** Removes the mode of a source, so that the default mode applies to it. */
  clearMode(source: string): void {
    this.#modes.delete(source);
    for (const entry of this.#openConnections) {
      entry.connection.setMode(this.#modeOf(entry.source));
    }
  }

  /** Removes all modes, so that all connections pass. */
  heal(): void {
    this.#modes.clear();
    this.setMode(PASS);
  }

  /**
   * Refuses connections, as the target itself would, until the target listens
   * again.
   */
  refuseUntilTargetListens(): void {
    if (this.#isProbing || this.#isStopped) return;
    this.#isProbing = true;
    this.#server.close();
    void this.#reopenWhenTargetListens();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const entry of [...this.#openConnections]) entry.connection.reset();
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  async #reopenWhenTargetListens(): Promise<void> {
    while (!this.#isStopped) {
      await new Promise((resolve) => setTimeout(resolve, PROBE_INTERVAL_MS));
      if (!await isListening(this.#target)) continue;
      try {
        await this.#listen(this.#port);
        break;
      } catch {
        // The port is still in use by a closing connection: try again.
      }
    }
    this.#isProbing = false;
  }

  #listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, HOST, () => {
        this.#server.removeListener("error", reject);
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    this.#connections++;
    const source = this.#findSource(socket.remoteAddress ?? "");
    const mode = this.#modeOf(source);
    if (mode.kind === "cut") {
      socket.on("error", () => undefined);
      socket.resetAndDestroy();
      return;
    }
    const connection = new ProxiedConnection({
      source: socket,
      target: this.#target,
      mode,
      onClose: () => {
        this.#openConnections.delete(openConnection);
      },
      onRefused: () => {
        this.refuseUntilTargetListens();
      },
    });
    const openConnection: OpenConnection = { source, connection };
    this.#openConnections.add(openConnection);
  }

  #modeOf(source: string | undefined): LinkMode {
    const sourceMode = source === undefined
      ? undefined
      : this.#modes.get(source);
    return sourceMode ?? this.#defaultMode;
  }
}

function isListening(target: Endpoint): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(target);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => {
      resolve(false);
    });
  });
}
