// Starts the processes of the system with the command of the deploy file.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import http from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const READY_TIMEOUT_MS = 20_000;

/** With TROUBLE=0, a script does the same without its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Writes what was sent, answered and run to record.txt of the case. */
export class Record {
  #path;
  #startedAtMs = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, `trouble: ${hasTrouble}\n`);
  }

  add(text) {
    const seconds = (performance.now() - this.#startedAtMs) / 1000;
    appendFileSync(this.#path, `${seconds.toFixed(3)} ${text}\n`);
  }
}

export async function freePort(host = "127.0.0.1") {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const isFree = await new Promise((done) => {
      const server = createServer();
      server.once("error", () => done(false));
      server.listen(port, host, () => server.close(() => done(true)));
    });
    if (isFree) return port;
  }
}

function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error("The deploy file has no command");
  return run.split(" ");
}

/** The processes of a small deployment and their settings files. */
export class System {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #record;
  #storeAddress;
  vms = [];

  constructor({ record, storeAddress }) {
    this.#record = record;
    this.#storeAddress = storeAddress;
  }

  async addVm(name, zone, settings = {}) {
    const ip = `127.0.0.${11 + this.vms.length}`;
    const ports = [];
    while (ports.length < 4) {
      const port = await freePort(ip);
      if (!ports.includes(port)) ports.push(port);
    }
    const [front, ready, peers, metrics] = ports;
    const path = join(this.#folder, `${name}.conf`);
    const fields = {
      "node-name": name,
      "role": "entry",
      "machine-class": "edge",
      "serves": "edge",
      "ip-address": ip,
      zone,
      "region": "sicilia",
      "zones.palermo": "sicilia",
      "zones.catania": "sicilia",
      "zones.messina": "sicilia",
      "listen-addresses.front": `${ip}:${front}`,
      "listen-addresses.ready": `${ip}:${ready}`,
      "internal-ports": `${peers},${metrics}`,
      "bootstrap": "true",
      "limits.cpu-share": "0.675",
      "limits.cores": "1",
      "limits.memory-mb": "350",
      "limits.file-descriptors": "4100",
      "heartbeat-ms": "1200",
      "tolerate.machines": "2",
      "tolerate.zones": "1",
      "bounds.address-reuse-s": "2",
      "bounds.stable-window-ms": "3000",
      "bounds.drain-ms": "2000",
      "bounds.grace-period-s": "8",
      "bounds.config-apply-ms": "2000",
      "bounds.retry-budget-ratio": "0.2",
      "bounds.retry-window-s": "10",
      "bounds.retry-slack": "52",
      "bounds.cold-overage": "1.5",
      "bounds.cold-slack": "5",
      "platform.address": this.#storeAddress,
      ...settings,
    };
    writeFileSync(
      path,
      Object.entries(fields).map(([key, value]) => `${key}=${value}\n`)
        .join(""),
    );
    const vm = { name, zone, ip, front, ready, metrics, path, log: [] };
    this.vms.push(vm);
    this.start(vm);
    return vm;
  }

  /** Starts the process of a VM, also again after its end. */
  start(vm) {
    const [program, ...words] = deployCommand();
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SASSAFRASSTAGE_SETTINGS: vm.path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    vm.child = child;
    vm.exit = new Promise((done) => {
      child.once("exit", (code, signal) => {
        vm.hasExited = true;
        this.#record.add(`${vm.name} exits, code ${code}, signal ${signal}`);
        done({ code, signal });
      });
    });
    vm.hasExited = false;
    this.#record.add(`${vm.name} starts, process ${child.pid}`);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => vm.log.push(chunk.toString()));
    }
  }

  signal(vm, name) {
    this.#record.add(`${name} to ${vm.name}`);
    vm.child.kill(name);
  }

  async waitUntilReady(vm) {
    const endsAtMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endsAtMs) {
      if (await isReady(vm)) return;
      await sleep(50);
    }
    throw new Error(`${vm.name} isn't ready: ${vm.log.join("").slice(-2000)}`);
  }

  async close() {
    for (const vm of this.vms) {
      if (vm.hasExited) continue;
      vm.child.kill("SIGCONT");
      vm.child.kill("SIGKILL");
      await vm.exit;
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

export function isReady(vm) {
  return new Promise((done) => {
    const request = http.get({
      host: vm.ip,
      port: vm.ready,
      path: "/api/readiness",
      agent: false,
      timeout: 500,
    }, (response) => {
      response.resume();
      response.once("end", () => done(response.statusCode === 200));
      response.once("error", () => done(false));
    });
    request.once("timeout", () => request.destroy());
    request.once("error", () => done(false));
  });
}

/**
 * Sends one client request on a channel of its own; never rejects. `status` is
 * undefined if the channel ended without a whole head.
 */
export function sendRequest(vm, options) {
  return new Promise((done) => {
    const { path, host, headers, body, method, agent } = options;
    const request = http.request({
      host: vm.ip,
      port: vm.front,
      path,
      method: method ?? (body === undefined ? "GET" : "POST"),
      agent: agent ?? false,
      headers: {
        host,
        ...(body === undefined ? {} : { "content-length": body.length }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      let isWhole = false;
      response.on("data", (chunk) => chunks.push(chunk));
      response.once("end", () => {
        isWhole = response.complete;
      });
      response.once("error", () => undefined);
      response.once("close", () => {
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("latin1"),
          isWhole,
        });
      });
    });
    request.once("error", (error) => {
      done({
        status: undefined,
        headers: {},
        body: "",
        isWhole: false,
        error: String(error.code ?? error),
      });
    });
    options.onRequest?.(request);
    request.end(body);
  });
}

/** Runs a script: exit code 1 if the rule was broken, 0 if it held, 2 else. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  let code = 2;
  try {
    const violations = await play(record);
    for (const text of violations) record.add(`VIOLATION ${text}`);
    record.add(`violations: ${violations.length}`);
    console.log(
      violations.length === 0
        ? "the rule held"
        : `the rule was broken: ${violations[0]} (${violations.length} in all)`,
    );
    code = violations.length === 0 ? 0 : 1;
  } catch (error) {
    record.add(`could not run: ${error?.stack ?? error}`);
    console.log(`could not run: ${error}`);
  }
  process.exit(code);
}
