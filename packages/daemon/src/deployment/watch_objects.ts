/**
 * Keeps a mirror up to date by listing and watching the platform's objects.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface ObjectWatchOptions {
  readonly store: ObjectStore;
  readonly mirror: ObjectMirror;
  /** How long the platform holds one watch call back without events. */
  readonly waitMs: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onListed?: () => void;
}

const FIRST_PAUSE_MS = 60;
const LONGEST_PAUSE_MS = 800;

/** The task that watches until it is closed. */
export class ObjectWatch {
  readonly #options: ObjectWatchOptions;
  readonly #abort = new AbortController();
  readonly #ended: Promise<void>;
  /** A watch that broke off may have missed changes: all is read again. */
  #isListingDue = true;
  #failures = 0;
  #regainedAtMs = -Infinity;
  #answeredAtMs: number;

  constructor(options: ObjectWatchOptions) {
    const { clock, metrics, mirror } = options;
    this.#options = options;
    this.#answeredAtMs = clock.nowMs();
    metrics.watchValue(
      `platformSilentMs.${mirror.prefix}`,
      () => Math.round(clock.nowMs() - this.#answeredAtMs),
    );
    this.#ended = this.#run();
  }

  /** When the platform answered again after failures. */
  get regainedAtMs(): number {
    return this.#failures > 0
      ? this.#options.clock.nowMs()
      : this.#regainedAtMs;
  }

  async close(): Promise<void> {
    this.#abort.abort();
    await this.#ended;
  }

  async #run(): Promise<void> {
    while (!this.#isClosed()) {
      try {
        await this.#step();
        this.#noteSuccess();
      } catch (error) {
        if (this.#isClosed()) return;
        this.#noteFailure(error);
        await this.#pause();
      }
    }
  }

  #isClosed(): boolean {
    return this.#abort.signal.aborted;
  }

  async #step(): Promise<void> {
    const { store, mirror, metrics, waitMs, onListed } = this.#options;
    const { revision } = mirror;
    if (this.#isListingDue || revision === undefined) {
      const listing = await store.list(mirror.prefix);
      this.#isListingDue = false;
      this.#noteSuccess();
      mirror.applyListing(listing);
      onListed?.();
      return;
    }
    const result = await store.watch(
      { prefix: mirror.prefix, afterRevision: revision, waitMs },
      this.#abort.signal,
    );
    this.#noteSuccess();
    if (result.kind === "events") {
      mirror.applyEvents(result.answer);
      return;
    }
    metrics.countEvent("watchTooOld");
    this.#isListingDue = true;
  }

  #noteSuccess(): void {
    const { clock, logger, mirror } = this.#options;
    this.#answeredAtMs = clock.nowMs();
    if (this.#failures === 0) return;
    logger.info("platformRegained", {
      objects: mirror.prefix,
      failures: this.#failures,
    });
    this.#failures = 0;
    this.#regainedAtMs = clock.nowMs();
  }

  #noteFailure(error: unknown): void {
    const { metrics, logger, mirror } = this.#options;
    this.#failures += 1;
    this.#isListingDue = true;
    metrics.countEvent("platformCallFailed");
    if (this.#failures > 1) return;
    logger.warn("platformLost", {
      objects: mirror.prefix,
      error: String(error),
    });
  }

  /** The pause has jitter, so that VMs don't come back all at once. */
  async #pause(): Promise<void> {
    const pauseMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (this.#failures - 1),
    );
    const { signal } = this.#abort;
    await sleep(pauseMs * (0.5 + Math.random()), undefined, { signal })
      .catch(() => undefined);
  }
}
