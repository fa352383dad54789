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

/** Cold until it has completed enough calls; turns cold again on demand. */
export class FakeServer {
  readonly #options: FakeServerOptions;
  #completions = 0;
  /** Calls that began since it last turned cold. */
  #inFlight = new Set<symbol>();
  startedCalls = 0;
  /** Calls that came while it was cold and at its limit. */
  overLimitCalls = 0;

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
  start(): symbol | undefined {
    this.startedCalls += 1;
    if (this.isCold && this.#inFlight.size >= this.#options.coldLimit) {
      this.overLimitCalls += 1;
      return undefined;
    }
    const call = Symbol("call");
    this.#inFlight.add(call);
    return call;
  }

  end(call: symbol): void {
    if (this.#inFlight.delete(call)) this.#completions += 1;
  }

  /** Restarts: calls in flight are lost, and it is cold again. */
  restart(): void {
    this.#completions = 0;
    this.#inFlight = new Set();
  }
}
