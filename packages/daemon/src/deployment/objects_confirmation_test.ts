import type { ObjectListing } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { type Deferred, makeDeferred } from "../deferred.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { ObjectMirror } from "./object_mirror.js";
import { ObjectsConfirmation } from "./objects_confirmation.js";

class SlowStore {
  readonly calls: Deferred<ObjectListing>[] = [];

  list(): Promise<ObjectListing> {
    const call = makeDeferred<ObjectListing>();
    this.calls.push(call);
    return call.promise;
  }
}

function setUp(): {
  readonly store: SlowStore;
  readonly mirror: ObjectMirror;
  readonly confirmation: ObjectsConfirmation;
} {
  const store = new SlowStore();
  const mirror = new ObjectMirror("servers/", {
    onUpdated: () => undefined,
    onDeleted: () => undefined,
  });
  const confirmation = new ObjectsConfirmation({
    store,
    mirror,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
  return { store, mirror, confirmation };
}

function listing(revision: number): ObjectListing {
  const key = `servers/${revision}`;
  return { revision, objects: [{ key, version: revision, value: {} }] };
}

describe("ObjectsConfirmation", () => {
  it("applies what the store holds before it resolves", async () => {
    const { store, mirror, confirmation } = setUp();
    const confirmed = confirmation.confirm();
    store.calls[0]?.resolve(listing(5));
    expect(await confirmed).toEqual(true);
    expect(mirror.objects.map(({ key }) => key)).toEqual(["servers/5"]);
  });

  it("makes one call for all that ask while another one is in progress", async () => {
    const { store, mirror, confirmation } = setUp();
    const first = confirmation.confirm();
    const later = Array.from({ length: 50 }, () => confirmation.confirm());
    store.calls[0]?.resolve(listing(5));
    expect(await first).toEqual(true);
    expect(store.calls.length).toEqual(2);
    store.calls[1]?.resolve(listing(6));
    expect(await Promise.all(later)).toEqual(later.map(() => true));
    expect(mirror.watchPosition?.after).toEqual(6);
    expect(store.calls.length).toEqual(2);
  });

  it("resolves with false if the store doesn't answer, and asks again", async () => {
    mock.timers.enable({ apis: ["setTimeout"] });
    try {
      const { store, confirmation } = setUp();
      const confirmed = confirmation.confirm();
      mock.timers.tick(300);
      expect(await confirmed).toEqual(false);
      const repeated = confirmation.confirm();
      store.calls[1]?.resolve(listing(5));
      expect(await repeated).toEqual(true);
    } finally {
      mock.timers.reset();
    }
  });
});
