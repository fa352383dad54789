import { expect } from "earl";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const PROGRAM = fileURLToPath(
  new URL("../bin/sassafrasstaged.js", import.meta.url),
);
/** The kernel chooses the ports; nothing listens at the platform's. */
const SETTINGS = `
[vm]
id = vm-a1
data_centre = a
[listen]
http = 127.0.0.1:0
peers = 127.0.0.1:0
[peers]
shared_key = 0123456789abcdef
[platform]
url = http://127.0.0.1:1
[admin]
key_sha256 = ${"0".repeat(64)}
[shutdown]
accept_for_ms = 0
drain_ms = 0
`;
const POLL_INTERVAL_MS = 20;

describe("sassafrasstaged", () => {
  let folder: string;
  let path: string;
  let child: ChildProcess | undefined;
  let output: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "sassafrasstaged-"));
    path = join(folder, "settings.ini");
    writeFileSync(path, SETTINGS);
    output = "";
  });

  afterEach(() => {
    child?.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  });

  function start(...options: readonly string[]): ChildProcess {
    const started = spawn(
      process.execPath,
      [PROGRAM, "--settings", path, ...options],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    started.stdout.on("data", (chunk: Buffer) => {
      output += chunk.toString();
    });
    child = started;
    return started;
  }

  async function waitForLine(text: string): Promise<void> {
    while (!output.includes(text)) await sleep(POLL_INTERVAL_MS);
  }

  it("isn't ended by SIGHUP, and ends in order on SIGTERM", async () => {
    const daemon = start();
    await waitForLine("event=started");
    daemon.kill("SIGHUP");
    await waitForLine("event=reloadNotSupported");
    daemon.kill("SIGTERM");
    const [code] = await once(daemon, "close") as [number | null];
    expect(code).toEqual(0);
    expect(output).toInclude("event=stopped reason=SIGTERM code=0");
  });

  it("logs nothing when it only checks the settings", async () => {
    const daemon = start("--check");
    const [code] = await once(daemon, "close") as [number | null];
    expect(code).toEqual(0);
    expect(output).toEqual(`${path}: the settings are valid\n`);
  });
});
