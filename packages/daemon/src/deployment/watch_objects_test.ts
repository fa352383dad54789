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
import { ObjectWatch } from "./watch_objects.js";

const WAIT_MS = 500;

const watches: ObjectWatch[] = [];
afterEach(async () => {
  await Promise.all(watches.splice(0).map((watch) => watch.close()));
});

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

function startWatch(store: ObjectStore, mirror: ObjectMirror): ObjectWatch {
  const started = new ObjectWatch({
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
});
