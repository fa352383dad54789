/** A small deployment like csab-verifica: three zones with a machine each. */

import { call, sleep } from "./calls.mjs";
import { openSubnet } from "./network.mjs";
import { INTERNAL_PORTS, PORTS } from "./system.mjs";

export const ZONES = ["palermo", "catania", "messina"];
export const ENGINE_PORT = 8080;
/** Of links that stand before other listeners. */
export const LINK_PORT = 9100;
const READY_TIMEOUT_MS = 20_000;
/** Until all machines know each other and the engines. */
const SETTLE_MS = 3000;

export const UNSAFE_ROUTE = {
  name: "r-emissione",
  host: "registro.example",
  "path-prefix": "/emissione/",
  "route-kind": "unsafe",
  "timeout-ms": 600,
  "target-latency-ms": 121,
  priority: 2,
  service: "registro",
  "max-attempts": 1,
  stages: [],
  public: true,
  sticky: false,
  "can-resume": false,
};

export const PLAIN_SERVICE = {
  name: "registro",
  "health-path": "/health",
  "connection-limit": 48,
  protocol: "h1",
  tls: false,
  "cold-start-s": 0,
  "cold-per-s": 0,
};

export const STREAM_ROUTE = {
  name: "r-dossier",
  host: "modello.example",
  "path-prefix": "/dossier/",
  "route-kind": "streaming",
  "timeout-ms": 15000,
  "target-latency-ms": 1400,
  "target-gap-ms": 400,
  priority: 1,
  service: "modello",
  "max-attempts": 2,
  stages: [],
  public: true,
  sticky: true,
  "can-resume": true,
};

export const MODEL_SERVICE = {
  name: "modello",
  "health-path": "/health",
  "connection-limit": 500,
  protocol: "h1",
  tls: false,
  "cold-start-s": 3,
  "cold-per-s": 16,
  engine: {
    slots: 128,
    "kv-cache-tokens": 601813,
    "kv-token-bytes": 18432,
    "link-mbps": 180000,
    moves: true,
    backups: true,
    stride: 6,
    most: 12,
    "pin-ms": 4000,
    "hold-ms": 2000,
    "handle-s": 5,
    models: [{ name: "m" }],
  },
};

export function makeConfiguration({ version = 7, routes, services }) {
  return {
    version,
    routes,
    services,
    limits: {
      "header-bytes": 16384,
      "body-bytes": 4194304,
      "header-ms": 3000,
      "idle-ms": 15000,
    },
  };
}

/** What an engine writes to the store about itself. */
export function entryOf(engine, { service, zone, slots, ...others }) {
  const { host, port } = engine.address;
  return {
    service,
    address: `${host}:${port}`,
    zone,
    version: "v1",
    slots,
    state: "ready",
    "cold-remaining-ms": 0,
    sequence: 1,
    born: engine.born,
    ...others,
  };
}

/**
 * Free addresses, and the settings of the machines.
 *
 * @param zones The zone of each machine
 */
export async function planDeployment(zones = ZONES) {
  const address = await openSubnet([
    ...Object.values(PORTS),
    ...INTERNAL_PORTS,
    ENGINE_PORT,
    LINK_PORT,
  ]);
  const store = { host: address(200, 1), port: PORTS.store };
  const ips = zones.map((_, index) => address(index + 1, 1));
  const machines = zones.map((zone, index) => ({
    name: `edge-${zone}-${
      zones.slice(0, index + 1).filter((each) => each === zone).length
    }`,
    ip: ips[index],
    zone,
    zones: ZONES,
    store,
    seeds: ips.map((ip) => `${ip}:${PORTS.control}`),
    front: { host: ips[index], port: PORTS.front },
    ready: { host: ips[index], port: PORTS.ready },
    peers: { host: ips[index], port: INTERNAL_PORTS[0] },
  }));
  return { address, machines, storeAddress: store };
}

/** Starts the machines and waits until they are ready. */
export async function startMachines(machines, { record, system }) {
  for (const machine of machines) system.start(machine);
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  for (const { ready, name } of machines) {
    for (;;) {
      const { status } = await call(ready, {
        path: "/api/readiness",
        timeoutMs: 1000,
      });
      if (status === 200) break;
      if (performance.now() > untilMs) throw new Error(`${name} isn't ready`);
      await sleep(100);
    }
  }
  record.add("all machines are ready");
  await sleep(SETTLE_MS);
}
