/**
 * In-memory implementation of the platform's object API with fault injection,
 * for unit tests.
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
  StatusStore,
  StatusUpdateResult,
  UpdateResult,
  WatchRequest,
  WatchResult,
} from "../object_store.js";
import { PlatformError } from "../platform_error.js";

interface RecordedEvent {
  readonly key: string;
  readonly revision: number;
  readonly event: WatchEvent;
}

/** The state that all connections share, and the faults to inject. */
export class MemoryObjectStore {
  readonly objects = new Map<string, StoredObject>();
  readonly calls = new Map<string, number>();
  revision = 0;
  isDown = false;
  /** Number of upcoming updates whose responses are lost. */
  responsesToLose = 0;
  /** Whether updates of the key take effect but lose their response. */
  isResponseLost: (key: string) => boolean = () => false;
  /** Called for each call to get the delay before it takes effect. */
  delayMs: () => number = () => 0;
  #events: RecordedEvent[] = [];
  #oldestRevision = 0;
  #waitingWatches = new Set<() => void>();

  /** Opens a connection that can be cut independently of the others. */
  connect(): MemoryConnection {
    return new MemoryConnection(this);
  }

  put(key: string, value: unknown): number {
    this.revision += 1;
    const version = this.revision;
    const known = this.objects.get(key);
    const object = {
      key,
      version,
      value: structuredClone(value),
      ...(known?.status !== undefined && { status: known.status }),
      creation: known?.creation ?? String(version),
    };
    this.objects.set(key, object);
    this.#recordEvent(key, { kind: "updated", object });
    return version;
  }

  putStatus(key: string, status: unknown): StoredObject | undefined {
    const known = this.objects.get(key);
    if (known === undefined) return undefined;
    this.revision += 1;
    const object = {
      ...known,
      version: this.revision,
      status: structuredClone(status),
    };
    this.objects.set(key, object);
    this.#recordEvent(key, { kind: "updated", object });
    return object;
  }

  delete(key: string): void {
    this.revision += 1;
    this.objects.delete(key);
    this.#recordEvent(key, { kind: "deleted", key, version: this.revision });
  }

  /** Makes watches that start at an earlier revision fail as too old. */
  discardEvents(): void {
    this.#events = [];
    this.#oldestRevision = this.revision;
    this.wakeWatches();
  }

  /** Returns undefined when the revision is too old. */
  eventsAfter(prefix: string, revision: number): WatchEvent[] | undefined {
    if (revision < this.#oldestRevision) return undefined;
    return this.#events
      .filter((entry) =>
        entry.revision > revision && entry.key.startsWith(prefix)
      )
      .map((entry) => entry.event);
  }

  wakeWatches(): void {
    for (const wake of this.#waitingWatches) wake();
  }

  waitForEvent(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waitingWatches.delete(finish);
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waitingWatches.add(finish);
      signal.addEventListener("abort", finish);
    });
  }

  #recordEvent(key: string, event: WatchEvent): void {
    this.#events.push({ key, revision: this.revision, event });
    this.wakeWatches();
  }
}

/** The connection of one daemon to the store. */
export class MemoryConnection implements StatusStore {
  isDisconnected = false;
  /** Number of upcoming watches that aren't told of the event that ends them. */
  deafWatches = 0;
  readonly #store: MemoryObjectStore;

  constructor(store: MemoryObjectStore) {
    this.#store = store;
  }

  async read(key: string): Promise<StoredObject | undefined> {
    await this.#beginCall("read");
    return structuredClone(this.#store.objects.get(key));
  }

  async list(prefix: string): Promise<ObjectListing> {
    await this.#beginCall("list");
    const objects = [...this.#store.objects.values()]
      .filter((object) => object.key.startsWith(prefix));
    return structuredClone({ revision: this.#store.revision, objects });
  }

  async update(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<UpdateResult> {
    await this.#beginCall("update");
    if (!this.#matches(key, expected)) {
      return this.#respond({ kind: "conflict" });
    }
    const version = this.#store.put(key, value);
    if (!this.#store.isResponseLost(key)) {
      return this.#respond({ kind: "updated", version });
    }
    throw new PlatformError("outcomeUnknown", "The response was lost");
  }

  async updateStatus(
    key: string,
    status: unknown,
    version: number,
  ): Promise<StatusUpdateResult> {
    await this.#beginCall("updateStatus");
    const stored = this.#store.objects.get(key);
    if (stored?.version !== version) {
      return { kind: "conflict", object: structuredClone(stored) };
    }
    const object = this.#store.putStatus(key, status) ?? stored;
    if (this.#store.isResponseLost(key)) {
      throw new PlatformError("outcomeUnknown", "The response was lost");
    }
    return { kind: "updated", object: structuredClone(object) };
  }

  async remove(key: string, version: number): Promise<UpdateResult> {
    await this.#beginCall("remove");
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
    await this.#beginCall("watch");
    const { prefix, afterRevision, waitMs } = request;
    if (this.deafWatches > 0) return this.#watchDeafly(request, signal);
    if (this.#store.eventsAfter(prefix, afterRevision)?.length === 0) {
      await this.#store.waitForEvent(waitMs, signal);
    }
    this.#expectReachable();
    const events = this.#store.eventsAfter(prefix, afterRevision);
    if (events === undefined) return { kind: "tooOld" };
    const { revision } = this.#store;
    return { kind: "events", answer: structuredClone({ revision, events }) };
  }

  /** Ends without events as soon as there is one. */
  async #watchDeafly(
    { prefix, afterRevision, waitMs }: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    this.deafWatches -= 1;
    while (this.#store.eventsAfter(prefix, afterRevision)?.length === 0) {
      await this.#store.waitForEvent(waitMs, signal);
      if (signal.aborted) break;
    }
    this.#expectReachable();
    const { revision } = this.#store;
    return { kind: "events", answer: { revision, events: [] } };
  }

  async listVms(): Promise<VmListing> {
    await this.#beginCall("listVms");
    return { vms: [] };
  }

  async #beginCall(call: string): Promise<void> {
    const { calls } = this.#store;
    calls.set(call, (calls.get(call) ?? 0) + 1);
    const delayMs = this.#store.delayMs();
    if (delayMs > 0) await sleep(delayMs);
    this.#expectReachable();
  }

  #expectReachable(): void {
    if (!this.isDisconnected && !this.#store.isDown) return;
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

  #respond(result: UpdateResult): UpdateResult {
    if (this.#store.responsesToLose === 0) return result;
    this.#store.responsesToLose -= 1;
    throw new PlatformError("outcomeUnknown", "The response was lost");
  }
}
