/**
 * A child process of the harness. All child processes are killed when this
 * process exits.
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
  /** Standard error is appended to this file, also after a restart. */
  readonly logFile: string;
}

export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const ANNOUNCE_TIMEOUT_MS = 20_000;
const runningProcesses = new Set<ManagedProcess>();
let hasExitHandlers = false;

/** A Node.js program started by the harness. */
export class ManagedProcess {
  readonly #child: ChildProcess;
  readonly #logFile: string;
  /** Resolves when the process has ended or could not be started. */
  readonly exited: Promise<ExitStatus>;
  #isRunning = true;

  constructor(options: ProcessOptions) {
    killChildrenOnExit();
    this.#logFile = options.logFile;
    const log = openSync(options.logFile, "a");
    this.#child = spawn(process.execPath, [options.script, ...options.args], {
      stdio: ["ignore", "pipe", log],
    });
    closeSync(log);
    runningProcesses.add(this);
    this.exited = new Promise((resolve) => {
      this.#child.once("error", () => {
        this.#markEnded();
        resolve({ code: null, signal: null });
      });
      this.#child.once("exit", (code, signal) => {
        this.#markEnded();
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

  /** Sends SIGKILL and waits for the end of the process. */
  async kill(): Promise<void> {
    this.#sendSignal("SIGKILL");
    await this.exited;
  }

  /** Sends SIGKILL without waiting. */
  killNow(): void {
    this.#sendSignal("SIGKILL");
  }

  suspend(): void {
    this.#sendSignal("SIGSTOP");
  }

  resume(): void {
    this.#sendSignal("SIGCONT");
  }

  /** Sends SIGTERM and waits for the end of the process. */
  async terminate(): Promise<ExitStatus> {
    this.#sendSignal("SIGTERM");
    return await this.exited;
  }

  /** Reads the first announcements that the program prints. */
  async readAnnouncements(count: number): Promise<Announcement[]> {
    const output = this.#child.stdout;
    if (output === null) throw new Error("Standard output isn't available");
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
    throw new Error(
      `The stand-in did not announce all its URLs: ${this.readLog()}`,
    );
  }

  /** Reads the complete log file. */
  readLog(): string {
    return readFileSync(this.#logFile, "utf8");
  }

  /** Appends the standard output of the program to its log file. */
  logOutput(): void {
    this.#child.stdout?.on("data", (chunk: Buffer) => {
      appendFileSync(this.#logFile, chunk);
    });
  }

  #sendSignal(signal: NodeJS.Signals): void {
    if (this.#isRunning) this.#child.kill(signal);
  }

  #markEnded(): void {
    this.#isRunning = false;
    runningProcesses.delete(this);
  }
}

/** Kills all child processes when this process exits or is signaled. */
function killChildrenOnExit(): void {
  if (hasExitHandlers) return;
  hasExitHandlers = true;
  process.once("exit", killAllChildren);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => {
      killAllChildren();
      process.kill(process.pid, signal);
    });
  }
}

function killAllChildren(): void {
  for (const child of runningProcesses) child.killNow();
}
