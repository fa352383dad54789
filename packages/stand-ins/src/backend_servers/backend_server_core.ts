/**
 * Code shared by the stand-ins of model engines and plain services: faults,
 * cold start, the run log, the delayed load report and the control routes.
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
  ColdStart,
  type ColdStartOptions,
  type ColdStartRecord,
  type ColdStartSign,
  DEFAULT_COLD_START,
} from "./cold_start.js";
import { type RunEntry, RunLog } from "./run_log.js";
import {
  type ServerEvent,
  type ServerEventKind,
  ServerEventLog,
} from "./server_event_log.js";

export interface BackendServerFaults {
  /** The port refuses connections, and open connections are closed. */
  readonly isDown: boolean;
  /** Every call is answered with 503 immediately. */
  readonly isRefusing: boolean;
  /** Calls are accepted, but make no progress until this is unset. */
  readonly isFrozen: boolean;
  readonly slowFactor: number;
  /**
   * Share of calls that fail: at a plain service after half of the work time, at
   * a model engine before the first token.
   */
  readonly failRatio: number;
  /** Share of answers replaced by the id and output of another request. */
  readonly wrongEchoRatio: number;
  /**
   * Share of streams whose connection is closed early. Of answers that aren't
   * streamed, the same share is replaced by a 503.
   */
  readonly breakRatio: number;
  /** Number of tokens sent before a stream is broken off. */
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

/** An overload during cold start, with the calls in flight at that time. */
export interface ColdOverload {
  readonly atMs: number;
  /** The call that was above the limit. */
  readonly requestId: string;
  readonly isSuddenlyCold: boolean;
  /** The first sign of the unannounced cold start visible to a caller. */
  readonly firstSign?: ColdStartSign;
  readonly inFlight: readonly RunEntry[];
  /** What the server did and showed in the time before. */
  readonly events: readonly ServerEvent[];
}

/** Served at `GET /load` with a delay of up to `loadLagMs`. */
export interface LoadReport {
  readonly inFlight: number;
  readonly atMs: number;
}

/** Why an admitted call was ended early. */
export type InterruptReason = "overload" | "disconnected" | "broken";

/** A call that was admitted and has not finished. */
export interface AdmittedCall {
  readonly entry: RunEntry;
  readonly abort: AbortController;
}

const DEFAULT_LOAD_LAG_MS = 200;
const FREEZE_POLL_MS = 20;
/** How far the events in the record of an overload go back. */
const OVERLOAD_TRACE_MS = 12_000;

/** The state and the injected faults of one stand-in backend server. */
export class BackendServerCore {
  readonly coldStart: ColdStart;
  readonly random: SeededRandom;
  readonly runs = new RunLog();
  readonly #events = new ServerEventLog();
  readonly #calls = new Set<AdmittedCall>();
  readonly #overloads: ColdOverload[] = [];
  readonly #loadLagMs: number;
  #loadReport: LoadReport = { inFlight: 0, atMs: 0 };
  #faults: BackendServerFaults;
  #loadTimer: NodeJS.Timeout | undefined;
  /** Called when the server turns cold, so that caches can be cleared. */
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
      this.#loadReport = {
        inFlight: this.coldStart.inFlight,
        atMs: Date.now(),
      };
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
    this.#recordEvent("turnedCold");
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

  /** Admits a call, or sends the refusal and returns undefined. */
  admit(
    response: HttpResponse,
    makeEntry: () => Omit<RunEntry, "outcome">,
  ): AdmittedCall | undefined {
    const { requestId } = makeEntry();
    if (this.#faults.isRefusing) {
      this.coldStart.recordSign("refusal", Date.now());
      this.#recordEvent("refused", requestId);
      answerUnavailable(response, "refusing");
      return undefined;
    }
    const { isSuddenlyCold, firstSign } = this.coldStart;
    const admission = this.coldStart.tryAdmit(Date.now());
    switch (admission.kind) {
      case "admitted": {
        const entry = this.runs.start(makeEntry());
        const call: AdmittedCall = { entry, abort: new AbortController() };
        this.#calls.add(call);
        this.#recordEvent("admitted", requestId);
        return call;
      }
      case "refused":
        this.#recordEvent("refused", requestId);
        answerUnavailable(response, "cold");
        return undefined;
      case "overload":
        answerUnavailable(response, "overloaded while cold");
        this.#overloads.push({
          atMs: Date.now(),
          requestId,
          isSuddenlyCold,
          ...(firstSign === undefined ? {} : { firstSign }),
          inFlight: [...this.#calls].map((call) => ({ ...call.entry })),
          events: this.#events.since(Date.now() - OVERLOAD_TRACE_MS),
        });
        this.#recordEvent("overloaded", requestId);
        for (const call of this.#calls) interrupt(call, "overload");
        return undefined;
    }
  }

  /** Records that a token of the call is about to be sent. */
  recordToken(call: AdmittedCall, index: number): void {
    this.coldStart.recordSign("token", Date.now());
    if (index === 0) this.#recordEvent("firstToken", call.entry.requestId);
  }

  /** Must be called once for each admitted call. */
  finish(call: AdmittedCall): void {
    this.#calls.delete(call);
    const { outcome, arrivedAtMs, requestId } = call.entry;
    const isCompleted = outcome === "completed";
    const wasCold = this.coldStart.isCold;
    this.coldStart.release(isCompleted);
    if (outcome !== "running") this.#recordEvent(outcome, requestId);
    if (wasCold !== this.coldStart.isCold) this.#recordEvent("turnedWarm");
    // The caller of a canceled call has disconnected and can't see how it ended,
    // so its end is no sign of a cold start.
    if (outcome === "canceled") return;
    this.coldStart.recordCallEnd({ arrivedAtMs, isCompleted }, Date.now());
  }

  /**
   * Waits for the given time, scaled by the slow factors, and while the server
   * is frozen. Rejects when the call is interrupted.
   */
  async simulateWork(call: AdmittedCall, durationMs: number): Promise<void> {
    const { signal } = call.abort;
    const scaledMs = durationMs * this.#faults.slowFactor *
      this.coldStart.slowFactor;
    await sleepUnlessAborted(scaledMs, signal);
    while (this.#faults.isFrozen) {
      await sleepUnlessAborted(FREEZE_POLL_MS, signal);
    }
  }

  #recordEvent(kind: ServerEventKind, requestId?: string): void {
    const { inFlight } = this.coldStart;
    const atMs = Date.now();
    this.#events.add({
      kind,
      atMs,
      inFlight,
      ...(requestId === undefined ? {} : { requestId }),
    });
  }

  /** Routes served by both kinds of stand-in backend servers. */
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
          sendJson(response, { status: 200, body: this.#loadReport });
        },
      },
    ];
  }
}

export function interrupt(call: AdmittedCall, reason: InterruptReason): void {
  call.abort.abort(reason);
}

/** Answers 503, or closes the connection if headers were already sent. */
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
    function onAbort(): void {
      clearTimeout(timer);
      reject(new Error(`Call interrupted: ${String(signal.reason)}`));
    }
    const timer = setTimeout(() => {
      signal.removeEventListener("abort", onAbort);
      resolve();
    }, durationMs);
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  });
}
