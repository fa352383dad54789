/**
 * The handle through which tests control one daemon of a cluster.
 *
 * @module
 */

import { request } from "undici";
import { type ExitStatus, ManagedProcess } from "./managed_process.js";

export interface DaemonOptions {
  readonly vmId: string;
  readonly dataCentre: string;
  readonly httpUrl: string;
  readonly adminKey: string;
  readonly program: string;
  readonly settingsFile: string;
  readonly logFile: string;
  /** Releases the ports reserved for the daemon; may be called repeatedly. */
  readonly releasePorts: () => Promise<void>;
  readonly onEnded: () => void;
}

export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

const POLL_INTERVAL_MS = 25;
const PROBE_TIMEOUT_MS = 1000;
const ADMIN_TIMEOUT_MS = 10_000;
const START_ATTEMPTS = 3;
/** Less than `accept_for_ms` in the settings written by the harness. */
const LOAD_BALANCER_DELAY_MS = 100;

/** Starts, signals and queries one daemon. */
export class DaemonHandle {
  readonly vmId: string;
  readonly dataCentre: string;
  readonly httpUrl: string;
  readonly #options: DaemonOptions;
  #process: ManagedProcess | undefined;
  #receivesTraffic = false;

  constructor(options: DaemonOptions) {
    this.vmId = options.vmId;
    this.dataCentre = options.dataCentre;
    this.httpUrl = options.httpUrl;
    this.#options = options;
  }

  get isRunning(): boolean {
    return this.#process?.isRunning ?? false;
  }

  /** Whether a load balancer would send requests to the daemon. */
  get isInService(): boolean {
    return this.isRunning && this.#receivesTraffic;
  }

  get processId(): number {
    return this.#requireRunning().processId;
  }

  /** Starts the process; retries if a port was taken in the meantime. */
  async start(): Promise<void> {
    if (this.isRunning) throw new Error(`${this.vmId} is already running`);
    this.#receivesTraffic = false;
    await this.#options.releasePorts();
    for (let attempt = 1; attempt <= START_ATTEMPTS; attempt++) {
      if (await this.#tryStart()) return;
    }
    throw new Error(`${this.vmId} did not start: ${this.readLog()}`);
  }

  /** Sends SIGKILL and waits for the end of the process. */
  async kill(): Promise<void> {
    const running = this.#requireRunning();
    await running.kill();
    this.#options.onEnded();
  }

  /** Sends SIGSTOP. */
  suspend(): void {
    this.#requireRunning().suspend();
  }

  /** Sends SIGCONT. */
  resume(): void {
    this.#requireRunning().resume();
  }

  /**
   * Sends SIGTERM and resolves when the process has ended. The daemon counts as
   * in service for a short delay, as a load balancer notices the shutdown late;
   * the daemon still accepts requests for longer than that.
   */
  async terminate(): Promise<ExitStatus> {
    const running = this.#requireRunning();
    setTimeout(() => {
      this.#receivesTraffic = false;
    }, LOAD_BALANCER_DELAY_MS);
    const status = await running.terminate();
    this.#options.onEnded();
    return status;
  }

  /** Kills the process if it is running, and releases its ports. */
  async dispose(): Promise<void> {
    if (this.isRunning) await this.kill();
    await this.#options.releasePorts();
  }

  /** Waits until `/readyz` answers 200. */
  async waitUntilReady(timeoutMs: number): Promise<void> {
    await this.#waitForProbe("/readyz", timeoutMs);
    this.#receivesTraffic = true;
  }

  /** Waits until the HTTP listener answers. */
  waitUntilListening(timeoutMs: number): Promise<void> {
    return this.#waitForProbe("/healthz", timeoutMs);
  }

  /** Calls the administration API. */
  async admin(
    path: string,
    call: { readonly method?: "GET" | "POST"; readonly body?: unknown } = {},
  ): Promise<AdminAnswer> {
    const answer = await request(`${this.httpUrl}${path}`, {
      method: call.method ?? "GET",
      headers: {
        authorization: `Bearer ${this.#options.adminKey}`,
        "content-type": "application/json",
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
    });
    const text = await answer.body.text();
    return { status: answer.statusCode, body: parseJson(text) };
  }

  /** Gets the text of `/metrics`. */
  async metrics(): Promise<string> {
    const answer = await request(`${this.httpUrl}/metrics`);
    return await answer.body.text();
  }

  readLog(): string {
    return this.#process?.readLog() ?? "";
  }

  #requireRunning(): ManagedProcess {
    const current = this.#process;
    if (current?.isRunning !== true) {
      throw new Error(`${this.vmId} isn't running`);
    }
    return current;
  }

  async #tryStart(): Promise<boolean> {
    const started = new ManagedProcess({
      script: this.#options.program,
      args: ["--settings", this.#options.settingsFile],
      logFile: this.#options.logFile,
    });
    started.logOutput();
    this.#process = started;
    while (started.isRunning) {
      if (await this.#probe("/healthz")) return true;
      await sleep(POLL_INTERVAL_MS);
    }
    this.#options.onEnded();
    return false;
  }

  async #waitForProbe(path: string, timeoutMs: number): Promise<void> {
    const endAtMs = performance.now() + timeoutMs;
    while (performance.now() < endAtMs) {
      if (await this.#probe(path)) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(
      `${this.vmId} did not answer ${path} with 200: ${this.readLog()}`,
    );
  }

  async #probe(path: string): Promise<boolean> {
    try {
      const answer = await request(`${this.httpUrl}${path}`, {
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
