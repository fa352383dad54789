// Starts one process of the system with the command of the deploy file, and
// ends it as the platform does.

import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const READY_TIMEOUT_MS = 15_000;

/** The words of `run` in the deploy file's only role. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, run] = /^run = "(.*)"$/m.exec(text) ?? [];
  if (run === undefined) throw new Error("No command in the deploy file");
  return run.split(" ");
}

export class Vm {
  /** @param options name, zone, ip, ports, storeAddress, folder, bounds */
  constructor(options) {
    this.options = options;
    this.name = options.name;
    this.ip = options.ip;
    this.ports = options.ports;
    this.settingsPath = join(options.folder, `${options.name}.conf`);
    this.logPath = join(options.folder, `${options.name}.log`);
    this.process = undefined;
    this.writeSettings(options.bounds ?? {});
  }

  writeSettings(bounds) {
    const { name, zone, ip, ports, storeAddress, memoryMb = 350 } =
      this.options;
    const allBounds = {
      "acknowledge-ms": 4000,
      "drain-ms": 2000,
      "grace-period-s": 8,
      "loss-slack-ms": 200,
      "config-apply-ms": 2000,
      "stable-window-ms": 3000,
      "retry-budget-ratio": 0.2,
      "retry-window-s": 10,
      "retry-slack": 52,
      "cold-overage": 1.5,
      "cold-slack": 5,
      "evacuation-ms": 5000,
      "recovery-s": 12,
      ...bounds,
    };
    const lines = [
      `node-name=${name}`,
      "role=entry",
      "machine-class=edge",
      "serves=edge",
      `ip-address=${ip}`,
      `zone=${zone}`,
      "region=sicilia",
      `listen-addresses.front=${ip}:${ports.front}`,
      `listen-addresses.ready=${ip}:${ports.ready}`,
      `internal-ports=${ports.first},${ports.last}`,
      "seeds=",
      "bootstrap=true",
      "limits.cpu-share=0.675",
      "limits.cores=1",
      `limits.memory-mb=${memoryMb}`,
      "limits.file-descriptors=4100",
      "limits.link-mbps=1000.0",
      "heartbeat-ms=1200",
      "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
      ...Object.entries(allBounds).map(([key, value]) =>
        `bounds.${key}=${value}`
      ),
      `platform.address=${storeAddress}`,
      "platform.form=objects",
      "platform.writes-per-s=400",
      "platform.reads-per-s=2000",
    ];
    writeFileSync(this.settingsPath, lines.join("\n") + "\n");
  }

  start() {
    const [program, ...args] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    this.process = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: {
          PATH,
          HOME,
          ...(LANG === undefined ? {} : { LANG }),
          SASSAFRASSTAGE_SETTINGS: this.settingsPath,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const log = createWriteStream(this.logPath, { flags: "a" });
    this.process.stdout.pipe(log, { end: false });
    this.process.stderr.pipe(log, { end: false });
    this.ended = new Promise((resolve) => {
      this.process.once("exit", (code, signal) => {
        resolve({ code, signal });
      });
    });
  }

  get isRunning() {
    return this.process !== undefined && this.process.exitCode === null &&
      this.process.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.process.kill(name);
  }

  async isReady() {
    return await new Promise((resolve) => {
      const call = request({
        host: this.ip,
        port: this.ports.ready,
        path: "/api/readiness",
        agent: false,
        timeout: 900,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.once("timeout", () => call.destroy());
      call.once("error", () => resolve(false));
      call.end();
    });
  }

  async waitUntilReady() {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    while (!await this.isReady()) {
      if (Date.now() > endsAt) throw new Error(`${this.name} isn't ready`);
      await sleep(10);
    }
  }

  async kill() {
    this.signal("SIGKILL");
    await this.ended;
  }
}
