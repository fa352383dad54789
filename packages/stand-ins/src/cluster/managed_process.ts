/**
 * One child process of the harness. All are ended when this process ends.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, closeSync, openSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { type Announcement, parseAnnouncement } from "../bin/announce.js";

export interface ProcessOptions {
  readonly script: string;
  readonly args: readonly string[];
  /** Receives standard error; appended to on a restart. */
  readonly logFile: string;
}

export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const ANNOUNCE_TIMEOUT_MS = 20_000;
const liveProcesses = new Set<ManagedProcess>();
let isGuarded = false;

/** A Node program that the harness started. */
export class ManagedProcess {
  readonly #child: ChildProcess;
  readonly #logFile: string;
  /** Resolves when the process has ended, however that came. */
  readonly exited: Promise<ExitStatus>;
  #isRunning = true;

  constructor(options: ProcessOptions) {
    guardAgainstOrphans();
    this.#logFile = options.logFile;
    const log = openSync(options.logFile, "a");
    this.#child = spawn(process.execPath, [options.script, ...options.args], {
      stdio: ["ignore", "pipe", log],
    });
    closeSync(log);
    liveProcesses.add(this);
    this.exited = new Promise((resolve) => {
      this.#child.once("error", () => {
        this.#end();
        resolve({ code: null, signal: null });
      });
      this.#child.once("exit", (code, signal) => {
        this.#end();
        resolve({ code, signal });
      });
    });
  }

  get processId(): number {
    return this.#child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** SIGKILL, and waits for the end. */
  async kill(): Promise<void> {
    this.#signal("SIGKILL");
    await this.exited;
  }

  /** SIGKILL without waiting. */
  killNow(): void {
    this.#signal("SIGKILL");
  }

  freeze(): void {
    this.#signal("SIGSTOP");
  }

  thaw(): void {
    this.#signal("SIGCONT");
  }

  /** SIGTERM, and waits for the end. */
  async terminate(): Promise<ExitStatus> {
    this.#signal("SIGTERM");
    return await this.exited;
  }

  /** The first announcements that the program prints. */
  async readAnnouncements(count: number): Promise<Announcement[]> {
    const output = this.#child.stdout;
    if (output === null) throw new Error("The program has no output");
    const lines = createInterface({ input: output });
    const found: Announcement[] = [];
    const timer = setTimeout(() => {
      lines.close();
    }, ANNOUNCE_TIMEOUT_MS);
    for await (const line of lines) {
      const announcement = parseAnnouncement(line);
      if (announcement !== undefined) found.push(announcement);
      if (found.length >= count) break;
    }
    clearTimeout(timer);
    output.resume();
    if (found.length >= count) return found;
    throw new Error(`A stand-in did not start: ${this.readLog()}`);
  }

  /** Everything that was logged so far. */
  readLog(): string {
    return readFileSync(this.#logFile, "utf8");
  }

  /** Adds what the program prints to its log. */
  logOutput(): void {
    this.#child.stdout?.on("data", (chunk: Buffer) => {
      appendFileSync(this.#logFile, chunk);
    });
  }

  #signal(signal: NodeJS.Signals): void {
    if (this.#isRunning) this.#child.kill(signal);
  }

  #end(): void {
    this.#isRunning = false;
    liveProcesses.delete(this);
  }
}

/** However this process ends, the processes it started end too. */
function guardAgainstOrphans(): void {
  if (isGuarded) return;
  isGuarded = true;
  process.once("exit", killAll);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => {
      killAll();
      process.kill(process.pid, signal);
    });
  }
}

function killAll(): void {
  for (const child of liveProcesses) child.killNow();
}
