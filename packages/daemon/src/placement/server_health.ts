/**
 * What this VM has seen of one backend server.
 *
 * @module
 */

/** A single failure is forgotten by half after this time. */
const FAILURE_HALF_LIFE_MS = 2500;
const LATENCY_GAIN = 0.2;
const FIRST_SUSPENSION_MS = 150;
const LONGEST_SUSPENSION_MS = 3000;
/** A server that was full is tried again after this. */
const FULL_PAUSE_MS = 60;
const COLD_WINDOW_MS = 1000;

/** Mutable record; each VM keeps its own for each server. */
export class ServerHealth {
  inFlight = 0;
  #latencyMs: number | undefined;
  #failureScore = 0;
  #scoredAtMs = 0;
  #suspendedUntilMs = 0;
  #connectFailures = 0;
  #coldStarts: number[] = [];

  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Recent failures, each fading with time. */
  failureScore(nowMs: number): number {
    const halvings = Math.max(0, nowMs - this.#scoredAtMs) /
      FAILURE_HALF_LIFE_MS;
    return this.#failureScore * 0.5 ** halvings;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.#suspendedUntilMs;
  }

  noteAnswer(latencyMs: number): void {
    this.#connectFailures = 0;
    const known = this.#latencyMs ?? latencyMs;
    this.#latencyMs = known + (latencyMs - known) * LATENCY_GAIN;
  }

  /** It broke off, stayed silent, or answered wrongly. */
  noteFailure(nowMs: number): void {
    this.#failureScore = this.failureScore(nowMs) + 1;
    this.#scoredAtMs = nowMs;
  }

  /** It said that it is full. */
  noteFull(nowMs: number): void {
    this.#suspendedUntilMs = Math.max(
      this.#suspendedUntilMs,
      nowMs + FULL_PAUSE_MS,
    );
    this.noteFailure(nowMs);
  }

  /** No connection came about, so it is tried more and more rarely. */
  noteUnreachable(nowMs: number): void {
    const pauseMs = Math.min(
      LONGEST_SUSPENSION_MS,
      FIRST_SUSPENSION_MS * 2 ** this.#connectFailures,
    );
    this.#connectFailures += 1;
    this.#suspendedUntilMs = nowMs + pauseMs;
    this.noteFailure(nowMs);
  }

  /** Requests sent to it while cold within the last second. */
  coldStartsInWindow(nowMs: number): number {
    const sinceMs = nowMs - COLD_WINDOW_MS;
    this.#coldStarts = this.#coldStarts.filter((timeMs) => timeMs > sinceMs);
    return this.#coldStarts.length;
  }

  noteColdStart(nowMs: number): void {
    this.#coldStarts.push(nowMs);
  }
}
