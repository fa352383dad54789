/**
 * Limits the work that small chunks of received data cause.
 *
 * Load pattern: handling a chunk costs about the same whatever its size, so one
 * sender of tiny chunks could occupy the event loop with few bytes. Chunks of
 * ordinary size aren't counted: their cost follows their bytes.
 *
 * @module
 */

/** Smaller chunks are counted. */
export const SMALL_CHUNK_BYTES = 512;
/** Steady rate of one connection: a fast engine sends 4,000 events a second. */
const CONNECTION_CHUNKS_PER_S = 8000;
const CONNECTION_BURST_CHUNKS = 1024;
/** A connection below this share of its burst isn't slowed by the others. */
const LIGHT_USE_CHUNKS = 256;
/** Steady rate of all connections together. */
const TOTAL_CHUNKS_PER_S = 64_000;
const TOTAL_BURST_CHUNKS = 16_384;
/** Of all connections together, in one turn of the event loop. */
const MAX_CHUNKS_PER_TURN = 2048;
/** A paused connection waits until it may receive this many chunks. */
const RESUME_CHUNKS = 128;
const MS_PER_SECOND = 1000;

export interface SmallChunkLimiterOptions {
  readonly nowMs: () => number;
  readonly setTimer: (callback: () => void, delayMs: number) => void;
  /** Calls back in the next turn of the event loop. */
  readonly nextTurn: (callback: () => void) => void;
}

/** Tokens that accrue at a steady rate up to a maximum; may be overdrawn. */
class TokenBucket {
  readonly #perSecond: number;
  readonly #max: number;
  #tokens: number;
  #updatedAtMs: number;

  constructor(
    limits: { readonly perSecond: number; readonly max: number },
    nowMs: number,
  ) {
    this.#perSecond = limits.perSecond;
    this.#max = limits.max;
    this.#tokens = limits.max;
    this.#updatedAtMs = nowMs;
  }

  tokens(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = nowMs;
    this.#tokens = Math.min(
      this.#max,
      this.#tokens + elapsedMs * this.#perSecond / MS_PER_SECOND,
    );
    return this.#tokens;
  }

  take(): void {
    this.#tokens -= 1;
  }

  /** Time until there are this many tokens. */
  untilMs(tokens: number, nowMs: number): number {
    const missing = tokens - this.tokens(nowMs);
    return Math.max(0, missing * MS_PER_SECOND / this.#perSecond);
  }
}

/** Shared by all connections of the process. */
export class SmallChunkLimiter {
  readonly #options: SmallChunkLimiterOptions;
  readonly #total: TokenBucket;
  #chunksInTurn = 0;

  constructor(options: SmallChunkLimiterOptions) {
    this.#options = options;
    this.#total = new TokenBucket(
      { perSecond: TOTAL_CHUNKS_PER_S, max: TOTAL_BURST_CHUNKS },
      options.nowMs(),
    );
  }

  /** @param resume Called when a connection that had to pause may go on */
  forConnection(resume: () => void): ConnectionChunkLimiter {
    return new ConnectionChunkLimiter(this, resume);
  }

  get nowMs(): number {
    return this.#options.nowMs();
  }

  /** Whether no connection should be read before the next turn. */
  get isTurnUsedUp(): boolean {
    return this.#chunksInTurn >= MAX_CHUNKS_PER_TURN;
  }

  /** Whether all connections together have used more than their steady rate. */
  get isTotalUsedUp(): boolean {
    return this.#total.tokens(this.nowMs) <= 1;
  }

  onNextTurn(callback: () => void): void {
    this.#options.nextTurn(callback);
  }

  makeBucket(): TokenBucket {
    return new TokenBucket({
      perSecond: CONNECTION_CHUNKS_PER_S,
      max: CONNECTION_BURST_CHUNKS,
    }, this.nowMs);
  }

  /** Takes one chunk from a connection's bucket and the total. */
  take(bucket: TokenBucket): "goOn" | "waitForTurn" | "waitForTokens" {
    const { nowMs } = this;
    if (this.#chunksInTurn === 0) {
      this.#options.nextTurn(() => {
        this.#chunksInTurn = 0;
      });
    }
    this.#chunksInTurn += 1;
    const own = bucket.tokens(nowMs);
    const total = this.#total.tokens(nowMs);
    bucket.take();
    this.#total.take();
    const isHeavy = own < CONNECTION_BURST_CHUNKS - LIGHT_USE_CHUNKS;
    if (own <= 1 || (isHeavy && total <= 1)) return "waitForTokens";
    return this.#chunksInTurn >= MAX_CHUNKS_PER_TURN ? "waitForTurn" : "goOn";
  }

  /** Calls back once the bucket and the total have tokens again. */
  wait(
    bucket: TokenBucket,
    reason: "waitForTurn" | "waitForTokens",
    callback: () => void,
  ): void {
    if (reason === "waitForTurn") {
      this.#options.nextTurn(callback);
      return;
    }
    const { nowMs } = this;
    const delayMs = Math.max(
      bucket.untilMs(RESUME_CHUNKS, nowMs),
      this.#total.untilMs(RESUME_CHUNKS, nowMs),
    );
    this.#options.setTimer(callback, Math.ceil(delayMs));
  }
}

/** The part of the limiter that one connection uses. */
export class ConnectionChunkLimiter {
  readonly #limiter: SmallChunkLimiter;
  readonly #resume: () => void;
  readonly #bucket: TokenBucket;
  #isPaused = false;

  constructor(limiter: SmallChunkLimiter, resume: () => void) {
    this.#limiter = limiter;
    this.#resume = resume;
    this.#bucket = limiter.makeBucket();
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  /**
   * Counts a received chunk. Returns false if the connection must not be read
   * until `resume` is called; chunks that come nevertheless prolong the pause.
   */
  receive(chunkBytes: number): boolean {
    if (chunkBytes >= SMALL_CHUNK_BYTES) return !this.#isPaused;
    const decision = this.#limiter.take(this.#bucket);
    if (this.#isPaused) return false;
    if (decision === "goOn") return true;
    this.#isPaused = true;
    this.#limiter.wait(this.#bucket, decision, () => {
      this.#checkPause();
    });
    return false;
  }

  #checkPause(): void {
    // Chunks that were received during the pause are paid for first.
    if (this.#bucket.tokens(this.#limiter.nowMs) < 1) {
      this.#limiter.wait(this.#bucket, "waitForTokens", () => {
        this.#checkPause();
      });
      return;
    }
    this.#isPaused = false;
    this.#resume();
  }
}

/** For production, with the timers of the event loop. */
export function createSmallChunkLimiter(
  nowMs: () => number,
): SmallChunkLimiter {
  return new SmallChunkLimiter({
    nowMs,
    setTimer: (callback, delayMs) => {
      setTimeout(callback, delayMs).unref();
    },
    nextTurn: (callback) => {
      setImmediate(callback);
    },
  });
}
