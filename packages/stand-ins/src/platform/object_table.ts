/**
 * The versioned objects of the platform stand-in and their history.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  WatchEvent,
  WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";

/** The condition under which a write is applied. */
export type Precondition =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };

export type WriteResult =
  | { readonly kind: "updated"; readonly version: number }
  | { readonly kind: "conflict" }
  | { readonly kind: "absent" };

const DEFAULT_MAX_HISTORY = 5000;

/** Versioned objects with conditional updates and a bounded history. */
export class ObjectTable {
  readonly #objects = new Map<string, StoredObject>();
  readonly #waiters = new Set<() => void>();
  readonly #maxHistory: number;
  #history: WatchEvent[] = [];
  #revision = 0;
  /** Watches from an earlier revision than this are too old. */
  #trimmedRevision = 0;

  constructor(maxHistory = DEFAULT_MAX_HISTORY) {
    this.#maxHistory = maxHistory;
  }

  read(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  list(prefix: string): ObjectListing {
    const objects = [...this.#objects.values()]
      .filter((object) => object.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { revision: this.#revision, objects };
  }

  update(
    key: string,
    value: unknown,
    precondition?: Precondition,
  ): WriteResult {
    if (!this.#isConditionMet(key, precondition)) return { kind: "conflict" };
    const object = { key, version: ++this.#revision, value };
    this.#objects.set(key, object);
    this.#append({ kind: "updated", object });
    return { kind: "updated", version: object.version };
  }

  remove(key: string, precondition?: Precondition): WriteResult {
    if (!this.#objects.has(key)) return { kind: "absent" };
    if (!this.#isConditionMet(key, precondition)) return { kind: "conflict" };
    this.#objects.delete(key);
    const version = ++this.#revision;
    this.#append({ kind: "deleted", key, version });
    return { kind: "updated", version };
  }

  /** Events after a revision, or undefined if the revision is too old. */
  eventsAfter(prefix: string, revision: number): WatchResponse | undefined {
    if (revision < this.#trimmedRevision) return undefined;
    const events = this.#history.filter((event) =>
      versionOf(event) > revision && keyOf(event).startsWith(prefix)
    );
    return { revision: this.#revision, events };
  }

  /** Clears the history, so that watches from earlier revisions are too old. */
  trimHistory(): void {
    this.#history = [];
    this.#trimmedRevision = this.#revision;
    this.wakeWaiters();
  }

  /** Resolves at the next change or after the timeout. */
  waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.#waiters.add(wake);
    });
  }

  wakeWaiters(): void {
    for (const wake of [...this.#waiters]) wake();
  }

  #isConditionMet(
    key: string,
    precondition: Precondition | undefined,
  ): boolean {
    if (precondition === undefined) return true;
    const current = this.#objects.get(key);
    if (precondition.kind === "absent") return current === undefined;
    return current?.version === precondition.version;
  }

  #append(event: WatchEvent): void {
    this.#history.push(event);
    if (this.#history.length > this.#maxHistory) {
      const dropped = this.#history.shift();
      if (dropped !== undefined) this.#trimmedRevision = versionOf(dropped);
    }
    this.wakeWaiters();
  }
}

function versionOf(event: WatchEvent): number {
  return event.kind === "updated" ? event.object.version : event.version;
}

function keyOf(event: WatchEvent): string {
  return event.kind === "updated" ? event.object.key : event.key;
}
