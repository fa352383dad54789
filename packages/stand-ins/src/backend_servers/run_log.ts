/**
 * The log of calls that a stand-in backend server ran.
 *
 * @module
 */

export type RunOutcome = "running" | "completed" | "failed" | "canceled";

/** An admitted call. Times are wall-clock milliseconds. */
export interface RunEntry {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly operation: string;
  /** The marker found in the input; see `expected_output.ts`. */
  readonly marker?: string;
  readonly arrivedAtMs: number;
  endedAtMs?: number;
  outcome: RunOutcome;
  /** The number returned by a non-idempotent operation. */
  number?: string;
}

const DEFAULT_MAX_ENTRIES = 100_000;

/** A bounded list of runs that drops the oldest entries first. */
export class RunLog {
  readonly #entries: RunEntry[] = [];
  readonly #maxEntries: number;
  #runs = 0;
  #lastArrivalAtMs = 0;

  constructor(maxEntries = DEFAULT_MAX_ENTRIES) {
    this.#maxEntries = maxEntries;
  }

  get runs(): number {
    return this.#runs;
  }

  get lastArrivalAtMs(): number {
    return this.#lastArrivalAtMs;
  }

  start(entry: Omit<RunEntry, "outcome">): RunEntry {
    const started: RunEntry = { ...entry, outcome: "running" };
    this.#runs++;
    this.#lastArrivalAtMs = entry.arrivedAtMs;
    this.#entries.push(started);
    if (this.#entries.length > this.#maxEntries) this.#entries.shift();
    return started;
  }

  entries(): readonly RunEntry[] {
    return this.#entries;
  }
}

/** Sets the outcome and the end time of a run. */
export function endRun(entry: RunEntry, outcome: RunOutcome): void {
  entry.outcome = outcome;
  entry.endedAtMs = Date.now();
}
