import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import type {
  ObjectStore,
  WatchRequest,
  WatchResult,
} from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import {
  MemoryConnection,
  MemoryObjectStore,
} from "../platform/testing/memory_object_store.js";
import { ObjectMirror } from "./object_mirror.js";
import { ObjectWatch, type ObjectWatchOptions } from "./watch_objects.js";

const WAIT_MS = 500;

const watches: ObjectWatch[] = [];
afterEach(async () => {
  await Promise.all(watches.splice(0).map((watch) => watch.close()));
});

class CountingConnection extends MemoryConnection {
  watchCount = 0;

  override watch(
    request: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    this.watchCount += 1;
    return super.watch(request, signal);
  }
}

function makeMirror(prefix: string): ObjectMirror {
  return new ObjectMirror(prefix, {
    onUpdated: () => undefined,
    onDeleted: () => undefined,
  });
}

/** Its watches deliver no events and stay open until `disconnect`. */
class SilentConnection extends MemoryConnection {
  #rejectWatch: ((error: Error) => void) | undefined;
  watchCount = 0;

  override watch(
    _request: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    this.watchCount += 1;
    return new Promise((_resolve, reject) => {
      this.#rejectWatch = reject;
      signal.addEventListener("abort", () => {
        reject(new PlatformError("notDone", "Closed"));
      }, { once: true });
    });
  }

  disconnect(): void {
    this.#rejectWatch?.(new PlatformError("outcomeUnknown", "Reset"));
  }
}

/** Its responses to watches wait until they are released. */
class HeldConnection extends MemoryConnection {
  #release: () => void = () => undefined;
  readonly #released = new Promise<void>((resolve) => {
    this.#release = resolve;
  });

  override async watch(
    request: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    const result = await super.watch(request, signal);
    await this.#released;
    return result;
  }

  release(): void {
    this.#release();
  }
}

function startWatch(
  store: ObjectStore,
  mirror: ObjectMirror,
  options: Pick<ObjectWatchOptions, "isFollowing" | "minIntervalMs"> = {},
): ObjectWatch {
  const started = new ObjectWatch({
    ...options,
    store,
    mirror,
    waitMs: 4000,
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
  watches.push(started);
  return started;
}

describe("ObjectWatch", () => {
  it("lists all objects again after a watch failed", async () => {
    const store = new MemoryObjectStore();
    const connection = new SilentConnection(store);
    const seen: unknown[] = [];
    const mirror = new ObjectMirror("config/", {
      onUpdated: ({ value }) => seen.push(value),
      onDeleted: () => undefined,
    });
    store.put("config/main", "old");
    startWatch(connection, mirror);
    await sleep(WAIT_MS);
    store.put("config/main", "new");
    connection.disconnect();
    await sleep(WAIT_MS);
    expect(seen).toEqual(["old", "new"]);
    expect(connection.watchCount).toEqual(2);
  });

  // Guards against a server being used again after its removal: a VM that is cut
  // off from the store for a moment learns of it from a peer first.
  it("doesn't bring back what has been removed meanwhile by a held-up response", async () => {
    const store = new MemoryObjectStore();
    store.put("servers/a", 1);
    const connection = new HeldConnection(store);
    const mirror = makeMirror("servers/");
    startWatch(connection, mirror);
    await sleep(WAIT_MS);
    store.put("servers/a", 2);
    await sleep(0);
    store.delete("servers/a");
    const { revision } = store;
    mirror.applyCopy({
      prefix: "servers/",
      revision,
      newsVersion: revision,
      objects: [],
    });
    connection.release();
    await sleep(WAIT_MS);
    expect(mirror.objects).toEqual([]);
    store.put("servers/b", 1);
    await sleep(WAIT_MS);
    expect(mirror.objects.map(({ key }) => key)).toEqual(["servers/b"]);
  });

  // Guards against a change being skipped for good that the store doesn't tell a
  // waiting watch, as seen right after a reset.
  it("learns by the next watch of what a watch wasn't told", async () => {
    const store = new MemoryObjectStore();
    const mirror = makeMirror("config/");
    const connection = store.connect();
    connection.deafWatches = 1;
    startWatch(connection, mirror);
    await sleep(WAIT_MS);
    store.put("config/main", "missed");
    await sleep(WAIT_MS);
    expect(mirror.objects.map(({ value }) => value)).toEqual(["missed"]);
  });

  it("counts a restart because of silent connections as an outage", async () => {
    const connection = new SilentConnection(new MemoryObjectStore());
    const mirror = new ObjectMirror("servers/", {
      onUpdated: () => undefined,
      onDeleted: () => undefined,
    });
    const watch = startWatch(connection, mirror);
    await sleep(WAIT_MS);
    const restartedAtMs = MONOTONIC_CLOCK.nowMs();
    watch.restart();
    await sleep(WAIT_MS);
    expect(connection.watchCount).toEqual(2);
    expect(watch.recoveredAtMs >= restartedAtMs).toEqual(true);
  });

  it("makes a few calls while 195 VMs join", async () => {
    const store = new MemoryObjectStore();
    const connection = new CountingConnection(store);
    const mirror = makeMirror("entry-vms/");
    startWatch(connection, mirror, { minIntervalMs: 200 });
    await sleep(WAIT_MS);
    const callsBefore = connection.watchCount;
    for (let vm = 0; vm < 195; vm++) {
      store.put(`entry-vms/vm-${vm}`, vm);
      await sleep(2);
    }
    await sleep(WAIT_MS);
    expect(mirror.objects.length).toEqual(195);
    expect(connection.watchCount - callsBefore <= 8).toEqual(true);
  });

  it("makes no calls while other VMs tell it all changes", async () => {
    const store = new MemoryObjectStore();
    const connection = new CountingConnection(store);
    const mirror = makeMirror("servers/");
    startWatch(connection, mirror, { isFollowing: () => true });
    await sleep(WAIT_MS);
    store.put("servers/a", 1);
    await sleep(WAIT_MS);
    expect(connection.watchCount).toEqual(0);
  });

  it("misses no change of the time in which it made no calls", async () => {
    const store = new MemoryObjectStore();
    const mirror = makeMirror("servers/");
    let isFollowing = true;
    const watch = startWatch(new MemoryConnection(store), mirror, {
      isFollowing: () => isFollowing,
    });
    await sleep(WAIT_MS);
    store.put("servers/a", 1);
    isFollowing = false;
    watch.checkFollowing();
    await sleep(WAIT_MS);
    expect(mirror.objects.map(({ key }) => key)).toEqual(["servers/a"]);
  });

  it("lists the objects when it is restarted while it made no calls", async () => {
    const store = new MemoryObjectStore();
    const mirror = makeMirror("servers/");
    const watch = startWatch(new MemoryConnection(store), mirror, {
      isFollowing: () => true,
    });
    await sleep(WAIT_MS);
    store.put("servers/a", 1);
    watch.restart();
    await sleep(WAIT_MS);
    expect(mirror.objects.map(({ key }) => key)).toEqual(["servers/a"]);
  });
});
