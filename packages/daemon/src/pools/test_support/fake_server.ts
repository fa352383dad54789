/**
 * A backend server that judges: it counts the calls in flight while it is
 * cold.
 *
 * @module
 */

export interface FakeServerOptions {
  readonly coldLimit: number;
  readonly warmAfterCompletions: number;
  readonly callMs: number;
}

/** Time to act on the first sign of a sudden cold. */
const DETECTION_GRACE_MS = 100;

/** Cold until it has completed enough calls; turns cold again on demand. */
export class FakeServer {
  readonly #options: FakeServerOptions;
  #completions = 0;
  readonly #inFlight = new Set<symbol>();
  /** Calls in flight that it took before it last turned cold. */
  readonly #callsBeforeCold = new Set<symbol>();
  startedCalls = 0;
  /** Calls that came while it was known to be cold and at its limit. */
  overLimitCalls = 0;
  /** The same, before the first sign of a sudden cold could be acted on. */
  undetectableCalls = 0;
  /** When the sudden cold was first shown; undefined before. */
  #firstRejectionAtMs: number | undefined = 0;

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

  /** Undefined when the call is refused. */
  start(nowMs: number): symbol | undefined {
    this.startedCalls += 1;
    if (this.isCold && this.#inFlight.size >= this.#options.coldLimit) {
      this.#firstRejectionAtMs ??= nowMs;
      if (nowMs < this.#firstRejectionAtMs + DETECTION_GRACE_MS) this.undetectableCalls += 1;
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

  /** Turns cold without warning; calls in flight go on. */
  turnCold(): void {
    this.#completions = 0;
    this.#firstRejectionAtMs = undefined;
    for (const call of this.#inFlight) this.#callsBeforeCold.add(call);
  }
}
