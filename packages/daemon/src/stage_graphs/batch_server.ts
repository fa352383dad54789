/**
 * State of one backend server for batched calls, as known to the scheduler.
 *
 * @module
 */

import type { BatchLimits } from "../routing/routing_configuration.js";
import type { ServerLoad } from "../server_load/server_load.js";
import { ServerSpeed, ServiceSpeed } from "../server_load/server_speed.js";
import { StatedLoad } from "../server_load/stated_load.js";
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
/**
 * A call that takes this many times the expected duration has probably waited
 * for another coordinator's; only a second one in a row shows a slow server.
 */
const DOUBTFUL_RATIO = 1.5;
/** Weight of a statement that the response to this call has brought. */
const MIN_LEARNED_WEIGHT = 0.9;
/** Calls of other coordinators that a call may have to wait for, at most. */
const MAX_OTHERS_CALLS = 2;
/** Other coordinators' calls are expected to be this full. */
const OTHERS_CALL_FILL = 0.5;

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
  readonly #stated = new StatedLoad();
  /** Whether calls of another coordinator have been seen at the server. */
  #isShared = false;
  readonly #speed: ServerSpeed;
  #itemsInFlight = 0;
  /** Whether other coordinators' calls were known when the newest call started. */
  #startedBehindOthers = false;
  #wasLastCallDoubtful = false;

  /** @param speed Shared with the other servers of the service by its mean */
  constructor(
    server: RegisteredServer,
    limits: BatchLimits,
    speed = new ServerSpeed(new ServiceSpeed()),
  ) {
    this.server = server;
    this.limits = limits;
    this.#speed = speed;
  }

  /**
   * Records what the response to a call states, before `endCall`. Once a server
   * that another coordinator uses too has stated how long work takes there, that
   * and its learned speed determine the expected durations. At a server that no
   * other one uses, the durations of the calls alone serve more on time.
   */
  recordLoad(load: ServerLoad, nowMs: number): void {
    // Servers that state more slots than calls count items.
    const ownInFlight = load.slots > this.limits.maxConcurrentCalls
      ? this.#itemsInFlight
      : this.callsInFlight;
    this.#isShared ||= load.running + load.waiting > ownInFlight;
    if (!this.#isShared) return;
    this.#stated.record(load, { ownInFlight, nowMs });
  }

  /** Whether the server has stated how long work takes there. */
  get statesSlowdown(): boolean {
    return this.#stated.hasStatedSlowdown;
  }

  /** Calls of other coordinators that are in progress or wait at the server. */
  othersCalls(nowMs: number): number {
    if (!this.statesSlowdown) return 0;
    return Math.min(MAX_OTHERS_CALLS, this.#stated.othersCalls(nowMs));
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
    const measured = this.#measuredSlowdown(nowMs);
    return this.statesSlowdown
      ? measured * this.#speed.slowness(this.#stated.slowdown(nowMs), nowMs)
      : measured;
  }

  /** Relative to what the server's statements and its speed explain, if any. */
  #measuredSlowdown(nowMs: number): number {
    const halfLives = (nowMs - this.#slowdownMeasuredAtMs) /
      SLOWDOWN_HALF_LIFE_MS;
    return 1 + (this.#slowdown - 1) * 0.5 ** Math.max(0, halfLives);
  }

  /** Includes the wait for calls of other coordinators. */
  estimateCallMs(itemCount: number, nowMs: number): number {
    const { maxItems } = this.limits;
    const waitMs = this.othersCalls(nowMs) *
      nominalCallMs(this.limits, maxItems * OTHERS_CALL_FILL);
    return (waitMs + nominalCallMs(this.limits, itemCount)) *
      this.slowdown(nowMs);
  }

  /** Duration after which a call that starts now counts as overdue. */
  overdueAfterMs(itemCount: number, nowMs: number): number {
    return this.estimateCallMs(itemCount, nowMs) * OVERDUE_FACTOR +
      OVERDUE_SLACK_MS;
  }

  startCall(itemCount: number, resultBytes: number, nowMs: number): void {
    this.callsInFlight += 1;
    this.#itemsInFlight += itemCount;
    this.#usedResultBytes += resultBytes;
    this.#startedBehindOthers = this.othersCalls(nowMs) > 0;
    this.expectedFreeAtMs = nowMs + this.estimateCallMs(itemCount, nowMs);
  }

  endCall(itemCount = 0): void {
    this.callsInFlight = Math.max(0, this.callsInFlight - 1);
    this.#itemsInFlight = Math.max(0, this.#itemsInFlight - itemCount);
  }

  /** @param itemCount Items of the call that has taken `durationMs` so far or in all */
  recordDuration(itemCount: number, durationMs: number, nowMs: number): void {
    const ratio = durationMs / nominalCallMs(this.limits, itemCount);
    if (this.statesSlowdown) this.#learn(ratio, nowMs);
    else this.#recordSlowdown(ratio, nowMs);
  }

  #recordSlowdown(ratio: number, nowMs: number): void {
    this.#slowdown = this.#measuredSlowdown(nowMs) * (1 - SLOWDOWN_SMOOTHING) +
      Math.max(0.5, ratio) * SLOWDOWN_SMOOTHING;
    this.#slowdownMeasuredAtMs = nowMs;
  }

  /** Learns from a call, unless it has waited for another coordinator's. */
  #learn(ratio: number, nowMs: number): void {
    if (this.#startedBehindOthers || this.othersCalls(nowMs) > 0) return;
    const stated = this.#stated.slowdown(nowMs);
    const unexplained = ratio / this.#speed.slowness(stated, nowMs);
    const isDoubtful = unexplained > DOUBTFUL_RATIO;
    const isConfirmed = !isDoubtful || this.#wasLastCallDoubtful;
    this.#wasLastCallDoubtful = isDoubtful;
    if (!isConfirmed) return;
    // An overdue call has no response yet that states a slowdown.
    if (stated !== undefined && stated.weight >= MIN_LEARNED_WEIGHT) {
      this.#speed.record({ ratio, slowdown: stated.value }, nowMs);
    }
    const explained = this.#speed.slowness(stated, nowMs);
    this.#recordSlowdown(ratio / explained, nowMs);
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
