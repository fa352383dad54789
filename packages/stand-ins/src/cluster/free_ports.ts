/**
 * Free TCP ports for daemons. They are below the ephemeral port range of the
 * kernel; otherwise an outgoing connection could take the port of a daemon
 * while it restarts.
 *
 * @module
 */

import { type AddressInfo, createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
/** Makes concurrent processes start their search at different ports. */
const START_PORT_SPACING = 211;

let nextPort = FIRST_PORT +
  (process.pid * START_PORT_SPACING) % (LAST_PORT - FIRST_PORT);

/** Ports that are kept occupied until they are used. */
export interface PortReservation {
  readonly ports: readonly number[];
  /** Frees the ports; to be called immediately before the daemon starts. */
  release(): Promise<void>;
}

/** Reserves the next free ports; rejects if no port is free. */
export async function reservePorts(count: number): Promise<PortReservation> {
  const servers: Server[] = [];
  while (servers.length < count) servers.push(await listenOnNextFreePort());
  return {
    ports: servers.map((server) => (server.address() as AddressInfo).port),
    release: async () => {
      await Promise.all(servers.map(close));
    },
  };
}

async function listenOnNextFreePort(): Promise<Server> {
  for (let tries = FIRST_PORT; tries <= LAST_PORT; tries += 1) {
    const server = await tryListen(nextPort);
    nextPort = nextPort === LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (server !== undefined) return server;
  }
  throw new Error("No port below the ephemeral port range is free");
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(undefined);
    });
    server.listen(port, HOST, () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
