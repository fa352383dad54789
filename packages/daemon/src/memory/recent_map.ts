/**
 * A map that keeps a limited number of entries.
 *
 * @module
 */

/**
 * Forgets the entry that was used least recently when a new one exceeds the
 * limit.
 *
 * @example
 * ```ts
 * const means = new RecentMap<string, number>(1000);
 * means.set("route-a", 12);
 * ```
 */
export class RecentMap<Key, Value> {
  readonly #maxEntries: number;
  /** In the order of the last use. */
  readonly #entries = new Map<Key, Value>();

  constructor(maxEntries: number) {
    this.#maxEntries = maxEntries;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: Key): Value | undefined {
    const value = this.#entries.get(key);
    if (value !== undefined) this.#markUsed(key, value);
    return value;
  }

  set(key: Key, value: Value): void {
    this.#markUsed(key, value);
    if (this.#entries.size <= this.#maxEntries) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  values(): IterableIterator<Value> {
    return this.#entries.values();
  }

  #markUsed(key: Key, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
  }
}
