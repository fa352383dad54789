/**
 * Cold start of a stand-in backend server: while cold, it accepts only a few
 * concurrent calls, fails all of them when that limit is exceeded, and becomes
 * warm after a number of completed calls.
 *
 * @module
 */

export interface ColdStartOptions {
  readonly isColdAtStart: boolean;
  /** Number of completed calls after which the server is warm. */
  readonly warmAfterCompletions: number;
  /** Maximum number of calls in flight while cold. */
  readonly coldLimit: number;
  /** Factor by which work takes longer while cold. */
  readonly coldSlowFactor: number;
}

export const DEFAULT_COLD_START: ColdStartOptions = {
  isColdAtStart: false,
  warmAfterCompletions: 20,
  coldLimit: 2,
  coldSlowFactor: 3,
};

/** Whether an arriving call is admitted. */
export type Admission =
  | { readonly kind: "admitted" }
  /**
   * Only this call is refused: the caller can't have reacted yet to the
   * unannounced cold start.
   */
  | { readonly kind: "refused" }
  /** The server is overloaded, and all calls in flight fail. */
  | { readonly kind: "overload" };

/** Counts used to check the system under test. */
export interface ColdStartRecord {
  readonly isCold: boolean;
  readonly inFlight: number;
  readonly coldOverloads: number;
  /**
   * Calls above the limit that arrived before the caller could react to an
   * unannounced cold start.
   */
  readonly suddenColdArrivals: number;
  readonly maxInFlightWhileCold: number;
}

/**
 * Time that the system under test has to react to the first sign of an
 * unannounced cold start.
 */
export const REACTION_TIME_MS = 250;

/** Kinds of signs by which a caller can detect an unannounced cold start. */
export type ColdStartSignKind = "refusal" | "token" | "callEnd";

export interface ColdStartSign {
  readonly kind: ColdStartSignKind;
  readonly atMs: number;
}

type WarmUpState =
  | { readonly kind: "warm" }
  | { readonly kind: "cold"; completionsLeft: number }
  | {
    readonly kind: "suddenlyCold";
    completionsLeft: number;
    /**
     * Whether the server was already cold. Its speed then stays the same, and
     * only a refusal is a sign.
     */
    readonly wasCold: boolean;
    readonly turnedAtMs: number;
    firstSign: ColdStartSign | undefined;
  };

/** Tracks the warm-up state and the calls in flight of one backend server. */
export class ColdStart {
  readonly #options: ColdStartOptions;
  #state: WarmUpState;
  #inFlight = 0;
  #coldOverloads = 0;
  #suddenColdArrivals = 0;
  #maxInFlightWhileCold = 0;

  constructor(options: ColdStartOptions) {
    this.#options = options;
    this.#state = options.isColdAtStart
      ? { kind: "cold", completionsLeft: options.warmAfterCompletions }
      : { kind: "warm" };
  }

  get isCold(): boolean {
    return this.#state.kind !== "warm";
  }

  get isSuddenlyCold(): boolean {
    return this.#state.kind === "suddenlyCold";
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get slowFactor(): number {
    return this.isCold ? this.#options.coldSlowFactor : 1;
  }

  record(): ColdStartRecord {
    return {
      isCold: this.isCold,
      inFlight: this.#inFlight,
      coldOverloads: this.#coldOverloads,
      suddenColdArrivals: this.#suddenColdArrivals,
      maxInFlightWhileCold: this.#maxInFlightWhileCold,
    };
  }

  /**
   * Decides whether to admit an arriving call. `release` must be called at the
   * end of each admitted call.
   */
  tryAdmit(nowMs: number): Admission {
    const isAboveLimit = this.isCold &&
      this.#inFlight + 1 > this.#options.coldLimit;
    if (isAboveLimit && this.#isWithinReactionTime(nowMs)) {
      this.#suddenColdArrivals++;
      this.recordSign("refusal", nowMs);
      return { kind: "refused" };
    }
    if (isAboveLimit) {
      this.#coldOverloads++;
      this.#maxInFlightWhileCold = Math.max(
        this.#maxInFlightWhileCold,
        this.#inFlight + 1,
      );
      this.#restartColdStart();
      return { kind: "overload" };
    }
    this.#inFlight++;
    if (this.isCold) {
      this.#maxInFlightWhileCold = Math.max(
        this.#maxInFlightWhileCold,
        this.#inFlight,
      );
    }
    return { kind: "admitted" };
  }

  /** Ends an admitted call. */
  release(isCompleted: boolean): void {
    this.#inFlight--;
    if (!isCompleted || this.#state.kind === "warm") return;
    this.#state.completionsLeft--;
    if (this.#state.completionsLeft <= 0) {
      this.#state = { kind: "warm" };
    }
  }

  /** Records that a caller was sent a sign of an unannounced cold start. */
  recordSign(kind: ColdStartSignKind, nowMs: number): void {
    if (this.#state.kind !== "suddenlyCold") return;
    if (this.#state.wasCold && kind !== "refusal") return;
    this.#state.firstSign ??= { kind, atMs: nowMs };
  }

  /**
   * Records the end of an admitted call as a sign of an unannounced cold start.
   * A completed call that began before it isn't a sign, since it took its usual
   * time.
   */
  recordCallEnd(
    call: { readonly arrivedAtMs: number; readonly isCompleted: boolean },
    nowMs: number,
  ): void {
    if (this.#state.kind !== "suddenlyCold") return;
    const startedEarlier = call.arrivedAtMs < this.#state.turnedAtMs;
    if (startedEarlier && call.isCompleted) return;
    this.recordSign("callEnd", nowMs);
  }

  /** The first sign of the current unannounced cold start. */
  get firstSign(): ColdStartSign | undefined {
    return this.#state.kind === "suddenlyCold"
      ? this.#state.firstSign
      : undefined;
  }

  /** Begins an unannounced cold start, or restarts an unfinished warm-up. */
  turnCold(nowMs: number): void {
    this.#state = {
      kind: "suddenlyCold",
      turnedAtMs: nowMs,
      wasCold: this.isCold,
      completionsLeft: this.#options.warmAfterCompletions,
      firstSign: undefined,
    };
  }

  #isWithinReactionTime(nowMs: number): boolean {
    if (this.#state.kind !== "suddenlyCold") return false;
    const { firstSign } = this.#state;
    return firstSign === undefined || nowMs < firstSign.atMs + REACTION_TIME_MS;
  }

  #restartColdStart(): void {
    this.#state = {
      kind: "cold",
      completionsLeft: this.#options.warmAfterCompletions,
    };
  }
}
