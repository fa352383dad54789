/**
 * What the scheduler knows of one backend server that takes batched calls.
 *
 * @module
 */

import type { BatchLimits } from "../routing/routing_configuration.js";
import type { RegisteredServer } from "../register/server_register.js";

/** Weight of the newest call in the measured speed. */
const SPEED_GAIN = 0.5;
/** A slow server is trusted again by half after this time without a call. */
const SPEED_FORGET_MS = 4000;
/** A server this much slower than nominal takes only what is late anyway. */
export const SLOW_FROM = 1.6;
const FIRST_SUSPENSION_MS = 100;
const LONGEST_SUSPENSION_MS = 2000;
/** By then the register has lost a server that is down rather than cut off. */
const UNREACHABLE_FOR_MS = 4000;
/** A call that takes this many times its estimate is treated as lost. */
const OVERDUE_FACTOR = 1.8;
const OVERDUE_SLACK_MS = 150;

/** Mutable record of one backend server of a stage service. */
export class BatchServer {
  server: RegisteredServer;
  limits: BatchLimits;
  callsUnderWay = 0;
  /** When the newest call should end. */
  likelyFreeAtMs = 0;
  #usedRoomBytes = 0;
  #foreignBytes = 0;
  #foreignSeenAtMs = -Infinity;
  #slowness = 1;
  #measuredAtMs = 0;
  #suspendedUntilMs = 0;
  #failures = 0;
  #unreachableAtMs = -Infinity;

  constructor(server: RegisteredServer, limits: BatchLimits) {
    this.server = server;
    this.limits = limits;
  }

  /** Room that isn't taken, as far as is known. */
  freeRoomBytes(nowMs: number): number {
    const { resultRoomBytes } = this.limits;
    return Math.max(
      0,
      resultRoomBytes - this.#usedRoomBytes - this.#foreignLeft(nowMs),
    );
  }

  /**
   * The server had no room for results that should have fitted: it holds some
   * that this scheduler doesn't know, such as a former coordinator's. They
   * lapse one after the other.
   */
  noteNoRoom(missingBytes: number, nowMs: number): void {
    this.#foreignBytes = this.#foreignLeft(nowMs) + missingBytes;
    this.#foreignSeenAtMs = nowMs;
  }

  #foreignLeft(nowMs: number): number {
    const sinceMs = nowMs - this.#foreignSeenAtMs;
    const left = Math.max(0, 1 - sinceMs / this.limits.resultKeptMs);
    return this.#foreignBytes * left;
  }

  canStart(nowMs: number): boolean {
    return this.callsUnderWay < this.limits.callsAtOnce &&
      nowMs >= this.#suspendedUntilMs;
  }

  /** Whether it is worth waiting for. */
  isSound(nowMs: number): boolean {
    return this.isReachable(nowMs) && nowMs >= this.#suspendedUntilMs &&
      this.slowness(nowMs) < SLOW_FROM;
  }

  /** False for a while after a call that got no connection or no answer. */
  isReachable(nowMs: number): boolean {
    return nowMs >= this.#unreachableAtMs + UNREACHABLE_FOR_MS;
  }

  noteUnreachable(nowMs: number): void {
    this.#unreachableAtMs = nowMs;
  }

  noteReached(): void {
    this.#unreachableAtMs = -Infinity;
    this.#failures = 0;
  }

  /** Actual against nominal duration; 1 for a server of nominal speed. */
  slowness(nowMs: number): number {
    const halvings = (nowMs - this.#measuredAtMs) / SPEED_FORGET_MS;
    return 1 + (this.#slowness - 1) * 0.5 ** Math.max(0, halvings);
  }

  estimateMs(itemCount: number, nowMs: number): number {
    return nominalMs(this.limits, itemCount) * this.slowness(nowMs);
  }

  /** When a call that starts now counts as lost. */
  overdueMs(itemCount: number, nowMs: number): number {
    return this.estimateMs(itemCount, nowMs) * OVERDUE_FACTOR +
      OVERDUE_SLACK_MS;
  }

  startCall(itemCount: number, resultBytes: number, nowMs: number): void {
    this.callsUnderWay += 1;
    this.#usedRoomBytes += resultBytes;
    this.likelyFreeAtMs = nowMs + this.estimateMs(itemCount, nowMs);
  }

  endCall(): void {
    this.callsUnderWay = Math.max(0, this.callsUnderWay - 1);
  }

  /** @param itemCount Items of the call that ended after `durationMs` */
  noteDuration(itemCount: number, durationMs: number, nowMs: number): void {
    const ratio = durationMs / nominalMs(this.limits, itemCount);
    this.#slowness = this.slowness(nowMs) * (1 - SPEED_GAIN) +
      Math.max(0.5, ratio) * SPEED_GAIN;
    this.#measuredAtMs = nowMs;
  }

  freeRoom(resultBytes: number): void {
    this.#usedRoomBytes = Math.max(0, this.#usedRoomBytes - resultBytes);
  }

  /** Sends nothing for a while, longer after each failure in a row. */
  suspend(nowMs: number): void {
    const pauseMs = Math.min(
      LONGEST_SUSPENSION_MS,
      FIRST_SUSPENSION_MS * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.#suspendedUntilMs = nowMs + pauseMs;
  }

  /** The server has no room or place just now; it is sound otherwise. */
  pause(nowMs: number): void {
    this.#suspendedUntilMs = nowMs + FIRST_SUSPENSION_MS;
  }
}

/** Duration of a call by the configuration. */
export function nominalMs(limits: BatchLimits, itemCount: number): number {
  return limits.callMs + limits.itemMs * itemCount;
}

/** Server time that an item takes when calls are full. */
export function itemShareMs(limits: BatchLimits): number {
  return limits.itemMs + limits.callMs / limits.maxItems;
}
