/**
 * Free TCP ports, chosen by the kernel.
 *
 * @module
 */

import { type AddressInfo, createServer, type Server } from "node:net";

const HOST = "127.0.0.1";

/** Ports that are held until they are to be used. */
export interface PortReservation {
  readonly ports: readonly number[];
  /** Frees the ports; to be called right before the daemon starts. */
  release(): Promise<void>;
}

export async function reservePorts(count: number): Promise<PortReservation> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenAnywhere()),
  );
  return {
    ports: servers.map((server) => (server.address() as AddressInfo).port),
    release: async () => {
      await Promise.all(servers.map(close));
    },
  };
}

function listenAnywhere(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, HOST, () => {
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
