import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { ColdStartNotifier } from "./cold_start_notifier.js";
import type { PoolContext } from "./pool_context.js";
import { makePermitRequest, makeVmId } from "./testing/test_configuration.js";
import { WarmUpTracker } from "./warm_up_tracker.js";

const { pool } = makePermitRequest();
const server = toId<BackendServerId>("palermo-1");

describe("ColdStartNotifier", () => {
  let notifiedVms: string[];
  let warmUpTracker: WarmUpTracker;
  let notifier: ColdStartNotifier;

  beforeEach(() => {
    notifiedVms = [];
    warmUpTracker = new WarmUpTracker();
    const context: Pick<PoolContext, "members"> = {
      members: [{
        vmId: makeVmId("vm-2"),
        dataCentre: pool.dataCentre,
        state: "live",
        isSelf: false,
        generation: 1,
      }],
    };
    notifier = new ColdStartNotifier({
      context: context as PoolContext,
      link: {
        send: (to) => {
          notifiedVms.push(to);
          return true;
        },
      },
      warmUpTracker,
    });
  });

  it("sends a notification although an earlier cold start is known", () => {
    // Only calls of other daemons have shown the server to be warm since then.
    warmUpTracker.recordIfNewer(server, {
      warmUpState: "cold",
      seenAtMs: 1000,
    });
    notifier.notify(pool, server, 5000);
    expect(notifiedVms).toEqual(["vm-2"]);
    expect(warmUpTracker.get(server)).toEqual({
      warmUpState: "cold",
      seenAtMs: 5000,
    });
  });

  it("sends one notification if several calls show a cold start together", () => {
    for (const nowMs of [5000, 5001, 5040]) {
      notifier.notify(pool, server, nowMs);
    }
    expect(notifiedVms).toEqual(["vm-2"]);
    notifier.notify(pool, server, 5500);
    expect(notifiedVms).toEqual(["vm-2", "vm-2"]);
  });
});
