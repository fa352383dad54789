/**
 * The bounded cache of prompt prefixes in a stand-in engine. Its events are
 * published with a delay, and some of them are lost.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { SeededRandom } from "../random/seeded_random.js";

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixKey: string;
}

export interface PrefixCacheOptions {
  readonly capacity: number;
  readonly eventLagMs: number;
  /** Share of events that are never published. */
  readonly eventGapRatio: number;
}

export const DEFAULT_PREFIX_CACHE: PrefixCacheOptions = {
  capacity: 64,
  eventLagMs: 300,
  eventGapRatio: 0.05,
};

interface ScheduledEvent extends CacheEvent {
  readonly publishedAtMs: number;
}

/** Length of the prefix of a prompt, in characters. */
export const PREFIX_LENGTH = 64;
const MAX_EVENTS = 2000;

/** The cache key of a prompt: a digest of its first characters. */
export function prefixKeyOf(prompt: string): string {
  return createHash("sha256").update(prompt.slice(0, PREFIX_LENGTH))
    .digest("hex").slice(0, 16);
}

/** A cache that evicts the least recently used prefix first. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #random: SeededRandom;
  readonly #keys = new Set<string>();
  #events: ScheduledEvent[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions, random: SeededRandom) {
    this.#options = options;
    this.#random = random;
  }

  /** Adds the prefix of a prompt and returns whether it was cached before. */
  touch(prompt: string, nowMs: number): boolean {
    const key = prefixKeyOf(prompt);
    const isHit = this.#keys.delete(key);
    this.#keys.add(key);
    if (isHit) return true;
    this.#publish({ kind: "stored", prefixKey: key }, nowMs);
    const [oldest] = this.#keys;
    if (this.#keys.size > this.#options.capacity && oldest !== undefined) {
      this.#keys.delete(oldest);
      this.#publish({ kind: "evicted", prefixKey: oldest }, nowMs);
    }
    return false;
  }

  /** Events after a sequence number that are published at the given time. */
  eventsAfter(sequence: number, nowMs: number): CacheEvent[] {
    return this.#events
      .filter((event) =>
        event.sequence > sequence && event.publishedAtMs <= nowMs
      )
      .map(({ sequence, kind, prefixKey }) => ({ sequence, kind, prefixKey }));
  }

  clear(): void {
    this.#keys.clear();
  }

  #publish(event: Omit<CacheEvent, "sequence">, nowMs: number): void {
    this.#sequence++;
    if (this.#random.nextBoolean(this.#options.eventGapRatio)) return;
    this.#events.push({
      ...event,
      sequence: this.#sequence,
      publishedAtMs: nowMs + this.#options.eventLagMs,
    });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }
}
