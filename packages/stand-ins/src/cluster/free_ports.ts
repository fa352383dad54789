/**
 * Free TCP ports for daemons. They lie below the range from which the kernel
 * takes the ports of outgoing connections: a daemon that is restarted would
 * otherwise find its port taken by some connection now and then.
 *
 * @module
 */

import { type AddressInfo, createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
/** Processes that run at the same time look in different places first. */
const PORTS_APART = 211;

let nextPort = FIRST_PORT +
  (process.pid * PORTS_APART) % (LAST_PORT - FIRST_PORT);

/** Ports that are held until they are to be used. */
export interface PortReservation {
  readonly ports: readonly number[];
  /** Frees the ports; to be called right before the daemon starts. */
  release(): Promise<void>;
}

/** Takes the next free ports; rejects when there are none at all. */
export async function reservePorts(count: number): Promise<PortReservation> {
  const servers: Server[] = [];
  while (servers.length < count) servers.push(await listenOnNextFree());
  return {
    ports: servers.map((server) => (server.address() as AddressInfo).port),
    release: async () => {
      await Promise.all(servers.map(close));
    },
  };
}

async function listenOnNextFree(): Promise<Server> {
  for (let tries = FIRST_PORT; tries <= LAST_PORT; tries += 1) {
    const server = await tryListen(nextPort);
    nextPort = nextPort === LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (server !== undefined) return server;
  }
  throw new Error("No port is free");
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
