// What the plays of this folder share: addresses, the desired state, the record
// and the end of all that was started.

import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Store } from "./store.mjs";
import { Vm } from "./vm.mjs";

export const ZONES = ["palermo", "catania", "messina"];
export const KEY = "9dnn2ctnfzs989anu6ws";
export const HOST = "jepu9.example";
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const PORTS_PER_VM = 10;
const FIRST_VM_PORT = 50;

export class Deployment {
  vms = [];
  #started = [];
  #startedAt = Date.now();

  /** @param number Of the case; each has addresses of its own */
  constructor(number, recordPath) {
    this.number = number;
    this.recordPath = recordPath;
    this.folder = mkdtempSync(join(tmpdir(), `review-${number}-`));
    // Below the ports that the kernel gives to outgoing connections.
    this.basePort = 20_000 + (process.pid % 100) * 100;
    this.storeAddress = `127.${number}.0.1:${this.basePort}`;
    writeFileSync(recordPath, "");
  }

  /** From now on, times are counted from here. */
  restartClock() {
    this.#startedAt = Date.now();
    return this.#startedAt;
  }

  record(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordPath, `${seconds.padStart(8)} s  ${text}\n`);
  }

  async startStore(configuration) {
    this.store = new Store(`127.${this.number}.0.1`, this.basePort);
    await this.store.listen();
    this.#started.push(this.store);
    this.store.put("config", "main", configuration);
  }

  /** Starts an engine and writes its entry. */
  async addEngine(engine) {
    await engine.listen();
    this.#started.push(engine);
    this.store.put("servers", engine.id, engine.entry());
    return engine;
  }

  engineAddress(number) {
    return {
      host: `127.${this.number}.1.${number}`,
      port: this.basePort + number,
    };
  }

  addVm(options = {}) {
    const number = this.vms.length;
    const zone = ZONES[number % ZONES.length];
    const first = this.basePort + FIRST_VM_PORT + number * PORTS_PER_VM;
    const vm = new Vm({
      name: `edge-${zone}-${Math.floor(number / ZONES.length) + 1}`,
      zone,
      ip: `127.${this.number}.2.${number + 1}`,
      ports: {
        front: first,
        ready: first + 1,
        first: first + 2,
        last: first + 3,
      },
      storeAddress: this.storeAddress,
      folder: this.folder,
      ...options,
    });
    this.vms.push(vm);
    return vm;
  }

  closeLater(item) {
    this.#started.push(item);
  }

  async startVms() {
    for (const vm of this.vms) {
      vm.start();
      void vm.ended.then(({ code, signal }) => {
        this.record(`${vm.name} has ended: ${signal ?? code}`);
      });
    }
    await Promise.all(this.vms.map((vm) => vm.waitUntilReady()));
  }

  async close() {
    for (const vm of this.vms) vm.signal("SIGKILL");
    await Promise.all(this.vms.map((vm) => vm.ended));
    for (const item of this.#started.reverse()) item.close();
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** Runs the play and ends the process with the code of its verdict. */
export async function runCase(number, play) {
  const deployment = new Deployment(number, process.argv[2]);
  process.on("uncaughtException", (error) => {
    deployment.record(`the case couldn't run: ${error.stack}`);
    for (const vm of deployment.vms) vm.signal("SIGKILL");
    process.exit(2);
  });
  let code = 2;
  try {
    code = await play(deployment);
  } catch (error) {
    deployment.record(`the case couldn't run: ${error.stack}`);
  } finally {
    await deployment.close();
  }
  process.exit(code);
}

export function makeRoute(fields) {
  return {
    "host": HOST,
    "priority": 2,
    "max-attempts": 1,
    "stages": [],
    "public": false,
    "sticky": false,
    "can-resume": false,
    ...fields,
  };
}

export function makeService(name, fields = {}) {
  return {
    name,
    "health-path": "/health",
    "connection-limit": 48,
    "protocol": "h1",
    "tls": false,
    "cold-start-s": 0,
    "cold-per-s": 0,
    ...fields,
  };
}

export function makeConfiguration(routes, services, fields = {}) {
  return {
    version: 7,
    routes,
    services,
    limits: {
      "header-bytes": 16_384,
      "body-bytes": 4_194_304,
      "header-ms": 3000,
      "idle-ms": 15_000,
    },
    tenants: [{ "name": "bozi300", "api-keys": [KEY], "priority": 1 }],
    ...fields,
  };
}
