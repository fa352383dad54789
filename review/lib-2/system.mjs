/** Starts processes with the command of the deploy file. */

import { spawn } from "node:child_process";
import {
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const PORTS = { front: 8625, ready: 8621, control: 8628, store: 8624 };
export const INTERNAL_PORTS = [7740, 7755];

/** Bounds of the sheet of csab-verifica. */
const BOUNDS = {
  "seed-staleness-s": 3,
  "address-reuse-s": 2,
  "stable-window-ms": 3000,
  "acknowledge-ms": 4000,
  "catch-up-s": 4,
  "drain-ms": 2000,
  "grace-period-s": 8,
  "loss-slack-ms": 200,
  "config-apply-ms": 2000,
  "rollback-slack-ms": 250,
  "stretch-max-ms": 5000,
  "strict-revocation": false,
  "revocation-ms": 5000,
  "retry-budget-ratio": 0.2,
  "retry-window-s": 10,
  "retry-slack": 52,
  "cold-overage": 1.5,
  "cold-slack": 5,
  "evacuation-ms": 5000,
  "recovery-s": 12,
  "max-delay-ms": 120,
  "retry-after-s": 10,
};

function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const match = /^run = "(.*)"$/m.exec(text);
  if (match === null) throw new Error("The deploy file names no program");
  return match[1].split(" ");
}

function settingsText({ name, ip, zone, zones, store, seeds, bounds }) {
  const lines = [
    `node-name=${name}`,
    "role=entry",
    "machine-class=edge",
    "serves=edge",
    `ip-address=${ip}`,
    `zone=${zone}`,
    "region=sicilia",
    ...zones.map((each) => `zones.${each}=sicilia`),
    `listen-addresses.front=${ip}:${PORTS.front}`,
    `listen-addresses.ready=${ip}:${PORTS.ready}`,
    `listen-addresses.control=${ip}:${PORTS.control}`,
    `internal-ports=${INTERNAL_PORTS.join(",")}`,
    `seeds=${seeds.join(",")}`,
    "bootstrap=true",
    "loss-counts=false",
    "limits.cpu-share=0.675",
    "limits.cores=1",
    "limits.memory-mb=350",
    "limits.file-descriptors=4100",
    "limits.link-mbps=1000.0",
    "limits.disk-mb=0",
    "discovery=platform",
    "entry=virtual_ip",
    "heartbeat-ms=1200",
    "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants," +
    "places,platform,stages",
    "tolerate.machines=2",
    "tolerate.zones=1",
    "tolerate.regions=0",
    ...Object.entries({ ...BOUNDS, ...bounds })
      .map(([key, value]) => `bounds.${key}=${value}`),
    `platform.address=${store.host}:${store.port}`,
    "platform.form=objects",
    "platform.writes-per-s=400",
    "platform.reads-per-s=2000",
    "platform.history-s=20",
    "platform.value-bytes=1048576",
    "platform.ttl-min-ms=1000",
  ];
  return `${lines.join("\n")}\n`;
}

export class System {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #processes = new Map();
  #record;
  /** Lines that the processes wrote, by name. */
  logs = new Map();

  constructor(record) {
    this.#record = record;
  }

  /** Replaces the settings file of a machine at once. */
  writeSettings(machine) {
    const path = this.#settingsPath(machine);
    writeFileSync(`${path}.new`, settingsText(machine));
    renameSync(`${path}.new`, path);
  }

  #settingsPath({ name }) {
    return join(this.#folder, `${name}.conf`);
  }

  start(machine) {
    const path = this.#settingsPath(machine);
    this.writeSettings(machine);
    const [program, ...args] = runCommand();
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG ?? "C.UTF-8",
          SASSAFRASSTAGE_SETTINGS: path,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    this.#processes.set(machine.name, child);
    const lines = this.logs.get(machine.name) ?? [];
    this.logs.set(machine.name, lines);
    const collect = (chunk) => {
      lines.push(...chunk.toString().split("\n").filter((line) => line !== ""));
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    this.#record.add(`${machine.name}: started`);
    child.once("exit", (code, signal) => {
      this.#record.add(`${machine.name}: ended, ${signal ?? code}`);
    });
    return child;
  }

  signal(name, signal) {
    this.#record.add(`${name}: gets ${signal}`);
    this.#processes.get(name).kill(signal);
  }

  hasEnded(name) {
    const { exitCode, signalCode } = this.#processes.get(name);
    return exitCode !== null || signalCode !== null;
  }

  /** Ends all processes that were started. */
  async end() {
    const exits = [...this.#processes.values()].map((child) => {
      if (child.exitCode !== null || child.signalCode !== null) {
        return undefined;
      }
      const exited = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      return exited;
    });
    await Promise.all(exits);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
