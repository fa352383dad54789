/**
 * A fake backend server that checks its cold limit: it rejects and counts the
 * calls that exceed the limit.
 *
 * @module
 */

export interface FakeServerOptions {
  readonly coldLimit: number;
  readonly warmAfterCompletions: number;
  readonly callMs: number;
}

/** Time to react to the first rejected call after the server turned cold. */
const GRACE_MS = 100;

/** Cold until it has completed enough calls. Tests can turn it cold again. */
export class FakeServer {
  readonly #options: FakeServerOptions;
  #completions = 0;
  readonly #inFlight = new Set<symbol>();
  /** Calls in flight that started before the server last turned cold. */
  readonly #callsBeforeCold = new Set<symbol>();
  startedCalls = 0;
  /** Calls over the cold limit after the daemons could know that the server is cold. */
  overLimitCalls = 0;
  /** Calls over the cold limit before the daemons could react to the cold server. */
  gracePeriodCalls = 0;
  /** First rejection since the server turned cold; 0 if it was cold from the start. */
  #rejectedAtMs: number | undefined = 0;

  constructor(options: FakeServerOptions) {
    this.#options = options;
  }

  get callMs(): number {
    return this.isCold ? 2 * this.#options.callMs : this.#options.callMs;
  }

  get isCold(): boolean {
    return this.#completions < this.#options.warmAfterCompletions;
  }

  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** Returns undefined when the call is rejected. */
  start(nowMs: number): symbol | undefined {
    this.startedCalls += 1;
    if (this.isCold && this.#inFlight.size >= this.#options.coldLimit) {
      this.#rejectedAtMs ??= nowMs;
      if (nowMs < this.#rejectedAtMs + GRACE_MS) this.gracePeriodCalls += 1;
      else this.overLimitCalls += 1;
      return undefined;
    }
    const call = Symbol("call");
    this.#inFlight.add(call);
    return call;
  }

  end(call: symbol): void {
    if (!this.#inFlight.delete(call)) return;
    const isStartedSinceCold = !this.#callsBeforeCold.delete(call);
    if (isStartedSinceCold) this.#completions += 1;
  }

  /** Makes the server warm without any calls. */
  warmUp(): void {
    this.#completions = this.#options.warmAfterCompletions;
  }

  /** Turns the server cold. Calls in flight go on, but don't count for its warm-up. */
  turnCold(): void {
    this.#completions = 0;
    this.#rejectedAtMs = undefined;
    for (const call of this.#inFlight) this.#callsBeforeCold.add(call);
  }
}
