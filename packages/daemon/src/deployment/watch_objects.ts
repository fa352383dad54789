/**
 * Keeps an object mirror up to date by listing and watching the platform's
 * objects.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  FIRST_STORE_ERA,
  type StoreEra,
  type WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore, WatchResult } from "../platform/object_store.js";
import {
  isBrokenConnection,
  isTimeout,
} from "../platform/platform_transport.js";
import type { WatchPosition } from "../platform/watch_position.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface ObjectWatchOptions {
  readonly store: ObjectStore;
  readonly mirror: ObjectMirror;
  /**
   * How long the platform keeps a watch call open while there are no events.
   */
  readonly waitMs: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onListed?: () => void;
  /**
   * Whether other VMs tell this one all changes, so that it needs no watch call
   * now.
   */
  readonly isFollowing?: (nowMs: number) => boolean;
  /** Shortest time between the starts of two watch calls. */
  readonly minIntervalMs?: number;
  /** Called when a connection has stayed open without a response in time. */
  readonly onSilent?: () => void;
}

const INITIAL_RETRY_DELAY_MS = 60;
const MAX_RETRY_DELAY_MS = 800;
/** Keeps the watches of different VMs from ending at the same time. */
const MIN_WAIT_FRACTION = 0.75;

/** Background task that lists and watches objects until it is closed. */
export class ObjectWatch {
  readonly #options: ObjectWatchOptions;
  readonly #abort = new AbortController();
  /** Ends the watch call or pause in progress. */
  #interrupt: (() => void) | undefined;
  #endFollowing: (() => void) | undefined;
  readonly #finished: Promise<void>;
  /** A watch that failed may have missed changes, so a listing is needed. */
  #needsListing = true;
  #failures = 0;
  /**
   * Whether the platform itself may have been unavailable. It may cut off a
   * watch at any time, and then answers the next call.
   */
  #isOutage = false;
  #recoveredAtMs = -Infinity;
  #lastResponseAtMs: number;
  /** When the latest watch call started. */
  #watchedAtMs = -Infinity;

  constructor(options: ObjectWatchOptions) {
    const { clock, metrics, mirror } = options;
    this.#options = options;
    this.#lastResponseAtMs = clock.nowMs();
    metrics.registerGauge(
      `platformSilentMs.${mirror.prefix}`,
      () => Math.round(clock.nowMs() - this.#lastResponseAtMs),
    );
    this.#finished = this.#run();
  }

  /** When the platform last answered. */
  get lastResponseAtMs(): number {
    return this.#lastResponseAtMs;
  }

  /** When the platform's last outage ended; the current time during one. */
  get recoveredAtMs(): number {
    return this.#isOutage ? this.#options.clock.nowMs() : this.#recoveredAtMs;
  }

  /**
   * Ends a watch call in progress and lists the objects on a new connection, as
   * connections to the platform have been silent.
   */
  restart(): void {
    this.#isOutage = true;
    this.#interrupt?.();
  }

  /** Has to be called when it may no longer be enough to follow other VMs. */
  checkFollowing(): void {
    if (!this.#isFollowing()) this.#endFollowing?.();
  }

  /** Lists the objects if they are known only of an earlier era. */
  restartIfBefore(era: StoreEra): void {
    if (this.#options.mirror.era < era) this.#interrupt?.();
  }

  async close(): Promise<void> {
    this.#abort.abort();
    this.#interrupt?.();
    await this.#finished;
  }

  async #run(): Promise<void> {
    while (!this.#isClosed()) {
      try {
        await this.#step();
      } catch (error) {
        if (this.#isClosed()) return;
        this.#recordFailure(error);
        await this.#waitBeforeRetry();
      }
    }
  }

  #isClosed(): boolean {
    return this.#abort.signal.aborted;
  }

  async #step(): Promise<void> {
    const { watchPosition } = this.#options.mirror;
    if (this.#needsListing || watchPosition === undefined) await this.#list();
    else if (this.#isFollowing()) await this.#waitWhileFollowing();
    else await this.#watchFrom(watchPosition);
  }

  #isFollowing(): boolean {
    const { isFollowing, clock } = this.#options;
    return isFollowing?.(clock.nowMs()) ?? false;
  }

  /** Until this VM has to call the platform itself. */
  async #waitWhileFollowing(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#endFollowing = resolve;
      this.#interrupt = () => {
        this.#needsListing = true;
        resolve();
      };
      if (this.#isClosed()) resolve();
    });
    this.#endFollowing = undefined;
    this.#interrupt = undefined;
  }

  /** A restart ends the pause; the objects have to be listed then. */
  async #pause(ms: number): Promise<void> {
    const abort = new AbortController();
    this.#interrupt = () => {
      abort.abort();
    };
    if (this.#isClosed()) abort.abort();
    try {
      await sleep(ms, undefined, { signal: abort.signal });
    } catch {
      this.#needsListing = true;
    } finally {
      this.#interrupt = undefined;
    }
  }

  async #list(): Promise<void> {
    const { store, mirror, onListed } = this.#options;
    const listing = await store.list(mirror.prefix);
    this.#needsListing = false;
    this.#recordSuccess();
    if (!mirror.applyListing(listing)) this.#recordIgnored(listing.revision);
    onListed?.();
  }

  async #watchFrom(start: WatchPosition): Promise<void> {
    const { mirror, metrics, logger, clock } = this.#options;
    const { minIntervalMs = 0 } = this.#options;
    const { era } = mirror;
    const pauseMs = this.#watchedAtMs + minIntervalMs - clock.nowMs();
    if (pauseMs > 0) {
      await this.#pause(pauseMs);
      return;
    }
    this.#watchedAtMs = clock.nowMs();
    const result = await this.#callWatch(start.after);
    if (result === "restarted") {
      this.#needsListing = true;
      return;
    }
    this.#recordSuccess();
    if (result.kind === "events") {
      const responseEra = result.answer.era ?? FIRST_STORE_ERA;
      if (responseEra === era && mirror.era === era) {
        this.#apply(start, result.answer);
      } else this.#needsListing = true;
      return;
    }
    metrics.countEvent("watchTooOld");
    logger.info("watchTooOld", {
      objects: mirror.prefix,
      revision: start.after,
    });
    this.#needsListing = true;
  }

  async #callWatch(revision: number): Promise<WatchResult | "restarted"> {
    const { store, mirror, waitMs } = this.#options;
    const fraction = MIN_WAIT_FRACTION +
      (1 - MIN_WAIT_FRACTION) * Math.random();
    const abort = new AbortController();
    this.#interrupt = () => {
      abort.abort();
    };
    if (this.#isClosed()) abort.abort();
    try {
      return await store.watch({
        prefix: mirror.prefix,
        afterRevision: revision,
        waitMs: Math.round(waitMs * fraction),
      }, abort.signal);
    } catch (error) {
      if (abort.signal.aborted && !this.#isClosed()) return "restarted";
      throw error;
    } finally {
      this.#interrupt = undefined;
    }
  }

  #apply(start: WatchPosition, response: WatchResponse): void {
    const { mirror, metrics, logger } = this.#options;
    const objects = mirror.prefix;
    const missed = countMissed(start, response);
    if (missed > 0) {
      metrics.countEvent("watchMissedChanges");
      logger.warn("watchMissedChanges", { objects, ...start, missed });
    }
    const ignored = mirror.applyWatchResponse(start, response);
    if (ignored === 0) return;
    metrics.countEvent("watchResponseOutdated");
    logger.info("watchResponseOutdated", {
      objects,
      after: start.after,
      known: mirror.completeRevision,
      ignored,
    });
  }

  #recordIgnored(revision: number): void {
    const { metrics, logger, mirror } = this.#options;
    metrics.countEvent("listingIgnored");
    logger.warn("listingIgnored", {
      objects: mirror.prefix,
      revision,
      known: mirror.completeRevision,
    });
  }

  #recordSuccess(): void {
    const { clock, logger, mirror } = this.#options;
    this.#lastResponseAtMs = clock.nowMs();
    if (this.#failures > 0) {
      logger.info("platformRegained", {
        objects: mirror.prefix,
        failures: this.#failures,
        outage: this.#isOutage,
      });
    }
    this.#failures = 0;
    if (!this.#isOutage) return;
    this.#isOutage = false;
    this.#recoveredAtMs = clock.nowMs();
  }

  #recordFailure(error: unknown): void {
    const { clock, metrics, logger, mirror } = this.#options;
    this.#failures += 1;
    this.#isOutage ||= this.#failures > 1 || !isBrokenConnection(error);
    this.#needsListing = true;
    metrics.countEvent("platformCallFailed");
    if (this.#failures > 1) return;
    if (isTimeout(error)) this.#options.onSilent?.();
    logger.warn("platformLost", {
      objects: mirror.prefix,
      error: String(error),
      silentMs: Math.round(clock.nowMs() - this.#lastResponseAtMs),
    });
  }

  /** Waits with jitter, so that the VMs don't all retry at once. */
  async #waitBeforeRetry(): Promise<void> {
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** (this.#failures - 1),
    );
    const { signal } = this.#abort;
    await sleep(delayMs * (0.5 + Math.random()), undefined, { signal })
      .catch(() => undefined);
  }
}

/** Counts the updates that an earlier response from the position lacked. */
function countMissed(
  { reached }: WatchPosition,
  { events }: WatchResponse,
): number {
  return events.filter((event) =>
    event.kind === "updated" && event.object.version <= reached
  ).length;
}
