/**
 * Health of one backend server, as observed by this VM.
 *
 * @module
 */

/** Half-life of a failure in the failure score. */
const FAILURE_HALF_LIFE_MS = 2500;
/** Weight of the newest sample in the moving average of the latency. */
const LATENCY_SMOOTHING = 0.2;
const MIN_SUSPENSION_MS = 150;
const MAX_SUSPENSION_MS = 3000;
/** Time until a server that reported no free capacity is tried again. */
const OVERLOAD_SUSPENSION_MS = 60;
/** Time after which a server without data is no longer taken for silent. */
const SILENCE_TTL_MS = 3000;
const COLD_WINDOW_MS = 1000;

/** Mutable record of one server; each VM keeps its own. */
export class ServerHealth {
  inFlight = 0;
  /** Calls in flight that have been without data for an unusually long time. */
  silentCalls = 0;
  #latencyMs: number | undefined;
  #failureScore = 0;
  #failureScoredAtMs = 0;
  #suspendedUntilMs = 0;
  #silentUntilMs = 0;
  #lastReceivedAtMs = -Infinity;
  #consecutiveConnectFailures = 0;
  #coldRequestTimes: number[] = [];

  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Number of recent failures, each of which decays exponentially. */
  failureScore(nowMs: number): number {
    const halfLives = Math.max(0, nowMs - this.#failureScoredAtMs) /
      FAILURE_HALF_LIFE_MS;
    return this.#failureScore * 0.5 ** halfLives;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.#suspendedUntilMs;
  }

  /** Whether the server has lately left this VM's calls without data. */
  isSilent(nowMs: number): boolean {
    return nowMs < this.#silentUntilMs;
  }

  /** Data of any call was received. */
  recordReceived(nowMs: number): void {
    this.#lastReceivedAtMs = nowMs;
    this.#silentUntilMs = 0;
  }

  /** A call has had no data since `sinceMs`; the server may serve others. */
  recordSilence(sinceMs: number, nowMs: number): void {
    if (this.#lastReceivedAtMs > sinceMs) return;
    this.#silentUntilMs = nowMs + SILENCE_TTL_MS;
  }

  recordResponse(latencyMs: number): void {
    this.#silentUntilMs = 0;
    this.#consecutiveConnectFailures = 0;
    const previousMs = this.#latencyMs ?? latencyMs;
    this.#latencyMs = previousMs + (latencyMs - previousMs) * LATENCY_SMOOTHING;
  }

  /** The server dropped the connection, timed out or responded wrongly. */
  recordFailure(nowMs: number): void {
    this.#failureScore = this.failureScore(nowMs) + 1;
    this.#failureScoredAtMs = nowMs;
  }

  /** The server reported that it has no free capacity. */
  recordOverload(nowMs: number): void {
    this.#suspendedUntilMs = Math.max(
      this.#suspendedUntilMs,
      nowMs + OVERLOAD_SUSPENSION_MS,
    );
    this.recordFailure(nowMs);
  }

  /** No connection was made; suspends the server with exponential backoff. */
  recordUnreachable(nowMs: number): void {
    const suspensionMs = Math.min(
      MAX_SUSPENSION_MS,
      MIN_SUSPENSION_MS * 2 ** this.#consecutiveConnectFailures,
    );
    this.#consecutiveConnectFailures += 1;
    this.#suspendedUntilMs = nowMs + suspensionMs;
    this.recordFailure(nowMs);
  }

  /** Failures so far were those of the path to the server. */
  forgetFailures(): void {
    this.#failureScore = 0;
    this.#suspendedUntilMs = 0;
    this.#silentUntilMs = 0;
    this.#consecutiveConnectFailures = 0;
  }

  /** Requests sent within the last second while the server was cold. */
  coldRequestsInWindow(nowMs: number): number {
    const sinceMs = nowMs - COLD_WINDOW_MS;
    this.#coldRequestTimes = this.#coldRequestTimes.filter((timeMs) =>
      timeMs > sinceMs
    );
    return this.#coldRequestTimes.length;
  }

  recordColdRequest(nowMs: number): void {
    this.#coldRequestTimes.push(nowMs);
  }

  /** The request that was recorded at this time isn't sent. */
  withdrawColdRequest(recordedAtMs: number): void {
    const index = this.#coldRequestTimes.indexOf(recordedAtMs);
    if (index >= 0) this.#coldRequestTimes.splice(index, 1);
  }
}
