/**
 * The platform's object API in memory, with faults, for unit tests.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  VmListing,
  WatchEvent,
} from "@sassafrasstage/protocol/platform_objects";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  ExpectedVersion,
  ObjectStore,
  UpdateResult,
  WatchRequest,
  WatchResult,
} from "../object_store.js";
import { PlatformError } from "../platform_error.js";

interface LoggedEvent {
  readonly key: string;
  readonly revision: number;
  readonly event: WatchEvent;
}

/** What all connections share. */
export class MemoryObjectStore {
  readonly objects = new Map<string, StoredObject>();
  readonly calls = new Map<string, number>();
  revision = 0;
  isDown = false;
  /** Updates that take effect and then answer with an error. */
  answersToLose = 0;
  /** The same, chosen by the object's key. */
  isAnswerLost: (key: string) => boolean = () => false;
  /** Called before each call; what it returns is waited for. */
  delayMs: () => number = () => 0;
  #events: LoggedEvent[] = [];
  #oldestRevision = 0;
  #waiting = new Set<() => void>();

  /** A connection that can be cut without the others. */
  connect(): MemoryConnection {
    return new MemoryConnection(this);
  }

  put(key: string, value: unknown): number {
    this.revision += 1;
    const version = this.revision;
    const object = { key, version, value: structuredClone(value) };
    this.objects.set(key, object);
    this.#log(key, { kind: "updated", object });
    return version;
  }

  delete(key: string): void {
    this.revision += 1;
    this.objects.delete(key);
    this.#log(key, { kind: "deleted", key, version: this.revision });
  }

  /** Watches from before now are told that their revision is too old. */
  forgetEvents(): void {
    this.#events = [];
    this.#oldestRevision = this.revision;
    this.wakeWatches();
  }

  /** Undefined when the revision is too old. */
  eventsAfter(prefix: string, revision: number): WatchEvent[] | undefined {
    if (revision < this.#oldestRevision) return undefined;
    return this.#events
      .filter((entry) =>
        entry.revision > revision && entry.key.startsWith(prefix)
      )
      .map((entry) => entry.event);
  }

  wakeWatches(): void {
    for (const wake of this.#waiting) wake();
  }

  waitForEvent(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiting.delete(finish);
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiting.add(finish);
      signal.addEventListener("abort", finish);
    });
  }

  #log(key: string, event: WatchEvent): void {
    this.#events.push({ key, revision: this.revision, event });
    this.wakeWatches();
  }
}

/** One daemon's way to the store. */
export class MemoryConnection implements ObjectStore {
  isCut = false;
  readonly #store: MemoryObjectStore;

  constructor(store: MemoryObjectStore) {
    this.#store = store;
  }

  async read(key: string): Promise<StoredObject | undefined> {
    await this.#enter("read");
    return structuredClone(this.#store.objects.get(key));
  }

  async list(prefix: string): Promise<ObjectListing> {
    await this.#enter("list");
    const objects = [...this.#store.objects.values()]
      .filter((object) => object.key.startsWith(prefix));
    return structuredClone({ revision: this.#store.revision, objects });
  }

  async update(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<UpdateResult> {
    await this.#enter("update");
    if (!this.#matches(key, expected)) {
      return this.#answer({ kind: "conflict" });
    }
    const version = this.#store.put(key, value);
    if (!this.#store.isAnswerLost(key)) {
      return this.#answer({ kind: "updated", version });
    }
    throw new PlatformError("outcomeUnknown", "The answer was lost");
  }

  async remove(key: string, version: number): Promise<UpdateResult> {
    await this.#enter("remove");
    const stored = this.#store.objects.get(key);
    if (stored !== undefined && stored.version !== version) {
      return { kind: "conflict" };
    }
    if (stored !== undefined) this.#store.delete(key);
    return { kind: "updated", version };
  }

  async watch(
    request: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    await this.#enter("watch");
    const { prefix, afterRevision, waitMs } = request;
    if (this.#store.eventsAfter(prefix, afterRevision)?.length === 0) {
      await this.#store.waitForEvent(waitMs, signal);
    }
    this.#expectReachable();
    const events = this.#store.eventsAfter(prefix, afterRevision);
    if (events === undefined) return { kind: "tooOld" };
    const { revision } = this.#store;
    return { kind: "events", answer: structuredClone({ revision, events }) };
  }

  async listVms(): Promise<VmListing> {
    await this.#enter("listVms");
    return { vms: [] };
  }

  async #enter(call: string): Promise<void> {
    const { calls } = this.#store;
    calls.set(call, (calls.get(call) ?? 0) + 1);
    const delayMs = this.#store.delayMs();
    if (delayMs > 0) await sleep(delayMs);
    this.#expectReachable();
  }

  #expectReachable(): void {
    if (!this.isCut && !this.#store.isDown) return;
    throw new PlatformError("notDone", "The platform refused the connection");
  }

  #matches(key: string, expected: ExpectedVersion): boolean {
    const stored = this.#store.objects.get(key);
    switch (expected.kind) {
      case "absent":
        return stored === undefined;
      case "version":
        return stored?.version === expected.version;
    }
  }

  #answer(result: UpdateResult): UpdateResult {
    if (this.#store.answersToLose === 0) return result;
    this.#store.answersToLose -= 1;
    throw new PlatformError("outcomeUnknown", "The answer was lost");
  }
}
