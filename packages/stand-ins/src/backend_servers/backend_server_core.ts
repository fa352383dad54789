/**
 * What stand-in engines and plain services have in common: faults, cold start,
 * the record of runs, the lagging load report and the control routes.
 *
 * @module
 */

import {
  type HttpResponse,
  readJson,
  type Route,
  sendJson,
  type StandInServer,
} from "../http/stand_in_server.js";
import { SeededRandom } from "../random/seeded_random.js";
import {
  type ColdSign,
  ColdStart,
  type ColdStartOptions,
  type ColdStartRecord,
  DEFAULT_COLD_START,
} from "./cold_start.js";
import { type RunEntry, RunLog } from "./run_log.js";

export interface BackendServerFaults {
  /** The port refuses connections; those open are closed. */
  readonly isDown: boolean;
  /** Every call is answered with 503 at once. */
  readonly isRefusing: boolean;
  /** Calls are taken and nothing moves until thawed. */
  readonly isFrozen: boolean;
  readonly slowFactor: number;
  /** Share of calls that fail after half their work. */
  readonly failRatio: number;
  /** Share of answers that carry another request's id and answer. */
  readonly wrongEchoRatio: number;
  /** Share of streams or answers that are broken off. */
  readonly breakRatio: number;
  /** Tokens sent before a broken stream ends. */
  readonly breakAfterTokens: number;
}

export const NO_BACKEND_SERVER_FAULTS: BackendServerFaults = {
  isDown: false,
  isRefusing: false,
  isFrozen: false,
  slowFactor: 1,
  failRatio: 0,
  wrongEchoRatio: 0,
  breakRatio: 0,
  breakAfterTokens: 2,
};

export interface CoreOptions {
  readonly seed?: number;
  readonly coldStart?: Partial<ColdStartOptions>;
  readonly faults?: Partial<BackendServerFaults>;
  readonly loadLagMs?: number;
}

/** Served at `GET /control/record`. */
export interface BackendServerRecord extends ColdStartRecord {
  readonly runs: number;
  /** Wall-clock time of the last admitted call; 0 before the first. */
  readonly lastArrivalAtMs: number;
  readonly entries: readonly RunEntry[];
  readonly overloads?: readonly ColdOverload[];
}

/** A fall under too much work while cold, with what was in flight. */
export interface ColdOverload {
  readonly atMs: number;
  readonly isSuddenlyCold: boolean;
  /** What the system could have told the sudden cold by. */
  readonly firstSign?: ColdSign;
  readonly inFlight: readonly RunEntry[];
}

/** Served at `GET /load`, some time late. */
export interface LoadReport {
  readonly inFlight: number;
  readonly atMs: number;
}

/** Why a call that was admitted is ended early. */
export type InterruptReason = "overload" | "disconnected" | "broken";

/** One admitted call. */
export interface Call {
  readonly entry: RunEntry;
  readonly abort: AbortController;
}

const DEFAULT_LOAD_LAG_MS = 200;
const FREEZE_POLL_MS = 20;

/** State and faults of one stand-in backend server. */
export class BackendServerCore {
  readonly coldStart: ColdStart;
  readonly random: SeededRandom;
  readonly runs = new RunLog();
  readonly #calls = new Set<Call>();
  readonly #overloads: ColdOverload[] = [];
  readonly #loadLagMs: number;
  #load: LoadReport = { inFlight: 0, atMs: 0 };
  #faults: BackendServerFaults;
  #loadTimer: NodeJS.Timeout | undefined;
  /** Called when the server turns cold, for caches to be emptied. */
  onTurnCold: () => void = () => undefined;

  constructor(options: CoreOptions) {
    this.coldStart = new ColdStart({
      ...DEFAULT_COLD_START,
      ...options.coldStart,
    });
    this.random = new SeededRandom(options.seed ?? 1);
    this.#faults = { ...NO_BACKEND_SERVER_FAULTS, ...options.faults };
    this.#loadLagMs = options.loadLagMs ?? DEFAULT_LOAD_LAG_MS;
  }

  get faults(): BackendServerFaults {
    return this.#faults;
  }

  startLoadReports(): void {
    this.#loadTimer = setInterval(() => {
      this.#load = { inFlight: this.coldStart.inFlight, atMs: Date.now() };
    }, this.#loadLagMs);
  }

  stopLoadReports(): void {
    clearInterval(this.#loadTimer);
  }

  async setFaults(
    faults: Partial<BackendServerFaults>,
    server: StandInServer,
  ): Promise<void> {
    this.#faults = { ...this.#faults, ...faults };
    await server.setDown(this.#faults.isDown);
  }

  turnCold(): void {
    this.coldStart.turnCold(Date.now());
    this.onTurnCold();
  }

  record(): BackendServerRecord {
    return {
      ...this.coldStart.record(),
      runs: this.runs.runs,
      lastArrivalAtMs: this.runs.lastArrivalAtMs,
      entries: this.runs.entries(),
      overloads: this.#overloads,
    };
  }

  /** Admits a call, or answers the refusal itself. */
  admit(
    response: HttpResponse,
    makeEntry: () => Omit<RunEntry, "outcome">,
  ): Call | undefined {
    if (this.#faults.isRefusing) {
      this.coldStart.noteSign("refusal", Date.now());
      answerUnavailable(response, "refusing");
      return undefined;
    }
    const { isSuddenlyCold, firstSign } = this.coldStart;
    const admission = this.coldStart.arrive(Date.now());
    switch (admission.kind) {
      case "admitted": {
        const entry = this.runs.start(makeEntry());
        const call: Call = { entry, abort: new AbortController() };
        this.#calls.add(call);
        return call;
      }
      case "refused":
        answerUnavailable(response, "cold");
        return undefined;
      case "overload":
        answerUnavailable(response, "overloaded while cold");
        this.#overloads.push({
          atMs: Date.now(),
          isSuddenlyCold,
          ...(firstSign === undefined ? {} : { firstSign }),
          inFlight: [...this.#calls].map((call) => ({ ...call.entry })),
        });
        for (const call of this.#calls) interrupt(call, "overload");
        return undefined;
    }
  }

  /** Must follow each admitted call. */
  finish(call: Call): void {
    this.#calls.delete(call);
    const { outcome, arrivedAtMs } = call.entry;
    const isCompleted = outcome === "completed";
    this.coldStart.leave(isCompleted);
    // Nobody was left to see how a canceled call ended.
    if (outcome === "canceled") return;
    this.coldStart.noteCallEnd({ arrivedAtMs, isCompleted }, Date.now());
  }

  /** Works for a time, longer under faults; rejects when interrupted. */
  async work(call: Call, durationMs: number): Promise<void> {
    const { signal } = call.abort;
    const scaledMs = durationMs * this.#faults.slowFactor *
      this.coldStart.slowFactor;
    await sleepUnlessAborted(scaledMs, signal);
    while (this.#faults.isFrozen) {
      await sleepUnlessAborted(FREEZE_POLL_MS, signal);
    }
  }

  /** Routes that both kinds of backend server serve. */
  controlRoutes(server: () => StandInServer): Route[] {
    return [
      {
        method: "post",
        path: "/control/faults",
        handler: async (request, response) => {
          const faults = await readJson(request);
          await this.setFaults(
            faults as Partial<BackendServerFaults>,
            server(),
          );
          sendJson(response, { status: 200, body: this.#faults });
        },
      },
      {
        method: "post",
        path: "/control/turn-cold",
        handler: (_request, response) => {
          this.turnCold();
          sendJson(response, { status: 200, body: {} });
        },
      },
      {
        method: "get",
        path: "/control/record",
        handler: (_request, response) => {
          sendJson(response, { status: 200, body: this.record() });
        },
      },
      {
        method: "get",
        path: "/load",
        handler: (_request, response) => {
          sendJson(response, { status: 200, body: this.#load });
        },
      },
    ];
  }
}

/** Ends a call early. */
export function interrupt(call: Call, reason: InterruptReason): void {
  call.abort.abort(reason);
}

/** Answers 503. */
export function answerUnavailable(
  response: HttpResponse,
  message: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  sendJson(response, {
    status: 503,
    body: { message },
    headers: { "retry-after": "1" },
  });
}

function sleepUnlessAborted(
  durationMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    function fail(): void {
      clearTimeout(timer);
      reject(new Error(`Interrupted: ${String(signal.reason)}`));
    }
    const timer = setTimeout(() => {
      signal.removeEventListener("abort", fail);
      resolve();
    }, durationMs);
    if (signal.aborted) fail();
    else signal.addEventListener("abort", fail, { once: true });
  });
}
