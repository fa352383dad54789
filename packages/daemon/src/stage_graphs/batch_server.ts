/**
 * State of one backend server for batched calls, as known to the scheduler.
 *
 * @module
 */

import type { BatchLimits } from "../routing/routing_configuration.js";
import type { RegisteredServer } from "../register/server_register.js";

/** Weight of the newest call in the moving average of the slowdown. */
const SLOWDOWN_SMOOTHING = 0.5;
/** Half-life of the measured slowdown while no call ends. */
const SLOWDOWN_HALF_LIFE_MS = 4000;
/**
 * From this slowdown on, a server doesn't count as healthy. Above it, the server
 * gets no work that it would finish late if a busy server is expected to become
 * free soon enough to finish it on time.
 */
export const SLOW_THRESHOLD = 1.6;
const MIN_SUSPENSION_MS = 100;
const MAX_SUSPENSION_MS = 2000;
/**
 * Time for which a server counts as unreachable. It is long enough for the
 * register to remove a server that is down rather than partitioned.
 */
const UNREACHABLE_PERIOD_MS = 4000;
/** A call is overdue after this multiple of its estimate plus the slack. */
const OVERDUE_FACTOR = 1.8;
const OVERDUE_SLACK_MS = 150;

/** Mutable record of one backend server of a stage service. */
export class BatchServer {
  server: RegisteredServer;
  limits: BatchLimits;
  callsInFlight = 0;
  /** Expected end of the newest call. */
  expectedFreeAtMs = 0;
  #usedResultBytes = 0;
  #untrackedBytes = 0;
  #untrackedSeenAtMs = -Infinity;
  #slowdown = 1;
  #slowdownMeasuredAtMs = 0;
  #suspendedUntilMs = 0;
  #consecutiveFailures = 0;
  #unreachableAtMs = -Infinity;

  constructor(server: RegisteredServer, limits: BatchLimits) {
    this.server = server;
    this.limits = limits;
  }

  /** Estimated free memory for results at the server, in bytes. */
  availableResultBytes(nowMs: number): number {
    const { resultRoomBytes } = this.limits;
    return Math.max(
      0,
      resultRoomBytes - this.#usedResultBytes - this.#untrackedBytesLeft(nowMs),
    );
  }

  /**
   * The server had no room for results that should have fitted, so it holds
   * results unknown to this scheduler, such as those of a former coordinator.
   * They are assumed to expire linearly over the retention time of results.
   */
  recordNoRoom(missingBytes: number, nowMs: number): void {
    this.#untrackedBytes = this.#untrackedBytesLeft(nowMs) + missingBytes;
    this.#untrackedSeenAtMs = nowMs;
  }

  #untrackedBytesLeft(nowMs: number): number {
    const sinceMs = nowMs - this.#untrackedSeenAtMs;
    const remainingShare = Math.max(
      0,
      1 - sinceMs / this.limits.resultRetentionMs,
    );
    return this.#untrackedBytes * remainingShare;
  }

  canStartCall(nowMs: number): boolean {
    return this.callsInFlight < this.limits.maxConcurrentCalls &&
      nowMs >= this.#suspendedUntilMs;
  }

  /** Whether the server is reachable, not suspended and not slow. */
  isHealthy(nowMs: number): boolean {
    return this.isReachable(nowMs) && nowMs >= this.#suspendedUntilMs &&
      this.slowdown(nowMs) < SLOW_THRESHOLD;
  }

  /** False for a while after a call that did not reach the server or got no response. */
  isReachable(nowMs: number): boolean {
    return nowMs >= this.#unreachableAtMs + UNREACHABLE_PERIOD_MS;
  }

  markUnreachable(nowMs: number): void {
    this.#unreachableAtMs = nowMs;
  }

  markReachable(): void {
    this.#unreachableAtMs = -Infinity;
    this.#consecutiveFailures = 0;
  }

  /** Ratio of actual to nominal duration; 1 for a server of nominal speed. */
  slowdown(nowMs: number): number {
    const halfLives = (nowMs - this.#slowdownMeasuredAtMs) /
      SLOWDOWN_HALF_LIFE_MS;
    return 1 + (this.#slowdown - 1) * 0.5 ** Math.max(0, halfLives);
  }

  estimateCallMs(itemCount: number, nowMs: number): number {
    return nominalCallMs(this.limits, itemCount) * this.slowdown(nowMs);
  }

  /** Duration after which a call that starts now counts as overdue. */
  overdueAfterMs(itemCount: number, nowMs: number): number {
    return this.estimateCallMs(itemCount, nowMs) * OVERDUE_FACTOR +
      OVERDUE_SLACK_MS;
  }

  startCall(itemCount: number, resultBytes: number, nowMs: number): void {
    this.callsInFlight += 1;
    this.#usedResultBytes += resultBytes;
    this.expectedFreeAtMs = nowMs + this.estimateCallMs(itemCount, nowMs);
  }

  endCall(): void {
    this.callsInFlight = Math.max(0, this.callsInFlight - 1);
  }

  /** @param itemCount Items of the call that has taken `durationMs` so far or in all */
  recordDuration(itemCount: number, durationMs: number, nowMs: number): void {
    const ratio = durationMs / nominalCallMs(this.limits, itemCount);
    this.#slowdown = this.slowdown(nowMs) * (1 - SLOWDOWN_SMOOTHING) +
      Math.max(0.5, ratio) * SLOWDOWN_SMOOTHING;
    this.#slowdownMeasuredAtMs = nowMs;
  }

  releaseResultBytes(resultBytes: number): void {
    this.#usedResultBytes = Math.max(0, this.#usedResultBytes - resultBytes);
  }

  /** Suspends the server, with exponential backoff on consecutive failures. */
  suspend(nowMs: number): void {
    const suspensionMs = Math.min(
      MAX_SUSPENSION_MS,
      MIN_SUSPENSION_MS * 2 ** this.#consecutiveFailures,
    );
    this.#consecutiveFailures += 1;
    this.#suspendedUntilMs = nowMs + suspensionMs;
  }

  /** Suspends a healthy server that has no free capacity at the moment. */
  suspendBriefly(nowMs: number): void {
    this.#suspendedUntilMs = nowMs + MIN_SUSPENSION_MS;
  }
}

/** Duration of a call according to the configuration. */
export function nominalCallMs(limits: BatchLimits, itemCount: number): number {
  return limits.callMs + limits.itemMs * itemCount;
}

/** Server time per item in a full call. */
export function amortizedItemMs(limits: BatchLimits): number {
  return limits.itemMs + limits.callMs / limits.maxItems;
}
