/**
 * How a stand-in backend server behaves in cold start: it bears a few calls,
 * falls over above that, and warms up with each call it completes.
 *
 * @module
 */

export interface ColdStartOptions {
  readonly isColdAtStart: boolean;
  /** Completions after which it is warm. */
  readonly warmAfterCompletions: number;
  /** Calls in flight that it bears while cold. */
  readonly coldLimit: number;
  /** How much slower it is while cold. */
  readonly coldSlowFactor: number;
}

export const DEFAULT_COLD_START: ColdStartOptions = {
  isColdAtStart: false,
  warmAfterCompletions: 20,
  coldLimit: 2,
  coldSlowFactor: 3,
};

/** How an arriving call is taken. */
export type Admission =
  | { readonly kind: "admitted" }
  /** Refused alone: nothing could yet be known of the sudden cold. */
  | { readonly kind: "refused" }
  /** It falls over: everything in flight fails. */
  | { readonly kind: "overload" };

/** Counts that judge the system under test. */
export interface ColdStartRecord {
  readonly isCold: boolean;
  readonly inFlight: number;
  readonly coldOverloads: number;
  /** Above the limit before a sign of the sudden cold could be acted on. */
  readonly suddenColdArrivals: number;
  readonly maxInFlightWhileCold: number;
}

/** Time that the system has to act on the first sign of a sudden cold. */
export const SIGN_GRACE_MS = 250;

/** What a caller can tell a sudden cold by. */
export type ColdSignKind = "refusal" | "token" | "callEnd";

export interface ColdSign {
  readonly kind: ColdSignKind;
  readonly atMs: number;
}

type Temperature =
  | { readonly kind: "warm" }
  | { readonly kind: "cold"; completionsLeft: number }
  | {
    readonly kind: "suddenlyCold";
    completionsLeft: number;
    /** It was cold before: nothing became slower, so only a refusal shows. */
    readonly wasCold: boolean;
    readonly turnedAtMs: number;
    firstSign: ColdSign | undefined;
  };

/** The temperature of one backend server and its calls in flight. */
export class ColdStart {
  readonly #options: ColdStartOptions;
  #temperature: Temperature;
  #inFlight = 0;
  #coldOverloads = 0;
  #suddenColdArrivals = 0;
  #maxInFlightWhileCold = 0;

  constructor(options: ColdStartOptions) {
    this.#options = options;
    this.#temperature = options.isColdAtStart
      ? { kind: "cold", completionsLeft: options.warmAfterCompletions }
      : { kind: "warm" };
  }

  get isCold(): boolean {
    return this.#temperature.kind !== "warm";
  }

  get isSuddenlyCold(): boolean {
    return this.#temperature.kind === "suddenlyCold";
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

  /** A call arrives; when admitted, `leave` must follow. */
  arrive(nowMs: number): Admission {
    const isAboveLimit = this.isCold &&
      this.#inFlight + 1 > this.#options.coldLimit;
    if (isAboveLimit && this.#isInGrace(nowMs)) {
      this.#suddenColdArrivals++;
      this.noteSign("refusal", nowMs);
      return { kind: "refused" };
    }
    if (isAboveLimit) {
      this.#coldOverloads++;
      this.#maxInFlightWhileCold = Math.max(
        this.#maxInFlightWhileCold,
        this.#inFlight + 1,
      );
      this.#restartCold();
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

  /** An admitted call is over. */
  leave(isCompleted: boolean): void {
    this.#inFlight--;
    if (!isCompleted || this.#temperature.kind === "warm") return;
    this.#temperature.completionsLeft--;
    if (this.#temperature.completionsLeft <= 0) {
      this.#temperature = { kind: "warm" };
    }
  }

  /** Something that shows the sudden cold was sent to a caller. */
  noteSign(kind: ColdSignKind, nowMs: number): void {
    if (this.#temperature.kind !== "suddenlyCold") return;
    if (this.#temperature.wasCold && kind !== "refusal") return;
    this.#temperature.firstSign ??= { kind, atMs: nowMs };
  }

  /**
   * An admitted call has ended. One that began before the sudden cold and was
   * completed took its usual time, and shows nothing.
   */
  noteCallEnd(
    call: { readonly arrivedAtMs: number; readonly isCompleted: boolean },
    nowMs: number,
  ): void {
    if (this.#temperature.kind !== "suddenlyCold") return;
    const isFromBefore = call.arrivedAtMs < this.#temperature.turnedAtMs;
    if (isFromBefore && call.isCompleted) return;
    this.noteSign("callEnd", nowMs);
  }

  /** The first sign of the present sudden cold. */
  get firstSign(): ColdSign | undefined {
    return this.#temperature.kind === "suddenlyCold"
      ? this.#temperature.firstSign
      : undefined;
  }

  /** Turns cold without warning, or begins an unfinished warm-up anew. */
  turnCold(nowMs: number): void {
    this.#temperature = {
      kind: "suddenlyCold",
      turnedAtMs: nowMs,
      wasCold: this.isCold,
      completionsLeft: this.#options.warmAfterCompletions,
      firstSign: undefined,
    };
  }

  #isInGrace(nowMs: number): boolean {
    if (this.#temperature.kind !== "suddenlyCold") return false;
    const { firstSign } = this.#temperature;
    return firstSign === undefined || nowMs < firstSign.atMs + SIGN_GRACE_MS;
  }

  /** The warming up begins again. */
  #restartCold(): void {
    this.#temperature = {
      kind: "cold",
      completionsLeft: this.#options.warmAfterCompletions,
    };
  }
}
