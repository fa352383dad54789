import {
  type BackendServerId,
  type PermitId,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { CallObserver } from "./call_observer.js";
import { ColdStartNotifier } from "./cold_start_notifier.js";
import type { HeldPermit } from "./held_permits.js";
import { LatencyBaselines } from "./latency_baseline.js";
import { buildPoolLayout, type PoolEntry } from "./pool_layout.js";
import type { PoolContext } from "./pool_context.js";
import {
  makeConfiguration,
  makePermitRequest,
  makeVmId,
} from "./testing/test_configuration.js";
import { WarmUpTracker } from "./warm_up_tracker.js";

const BASELINE_MS = 100;
const permitRequest = makePermitRequest();
const server = toId<BackendServerId>("palermo-1");

function makeContext(): PoolContext {
  const layout = buildPoolLayout(
    makeConfiguration({ servers: { palermo: 1 } }),
  );
  const pools = new Map<string, PoolEntry>();
  for (const [key, entry] of layout.pools) {
    const service = {
      ...entry.service,
      kind: "modelEngine",
      model: "dossier",
    } as const;
    pools.set(key, { ...entry, service });
  }
  const context: Pick<PoolContext, "layout" | "members"> = {
    layout: () => ({ ...layout, pools }),
    members: ["vm-1", "vm-2"].map((vmId) => ({
      vmId: makeVmId(vmId),
      dataCentre: permitRequest.pool.dataCentre,
      state: "live",
      isSelf: vmId === "vm-1",
      generation: 1,
    })),
  };
  return context as PoolContext;
}

function makeHeld(): HeldPermit {
  return {
    permit: {
      permitId: toId<PermitId>("permit-1"),
      attemptId: permitRequest.attemptId,
      pool: permitRequest.pool,
      backendServerId: server,
      warmUpState: "warm",
    },
    granter: { kind: "staticQuota" },
    requestedAtMs: 0,
    heldSinceMs: 0,
    deadlineAtMs: 10_000,
  };
}

describe("CallObserver", () => {
  let recipients: string[];
  let warmUpTracker: WarmUpTracker;
  let observer: CallObserver;

  beforeEach(() => {
    recipients = [];
    const context = makeContext();
    warmUpTracker = new WarmUpTracker();
    const link = {
      send: (to: string) => {
        recipients.push(to);
        return true;
      },
    };
    const baselines = new LatencyBaselines();
    for (let index = 0; index < 20; index++) {
      baselines.addSample(permitRequest.pool.service, BASELINE_MS);
    }
    const coldStartNotifier = new ColdStartNotifier({
      context,
      link,
      warmUpTracker,
    });
    observer = new CallObserver({
      context,
      warmUpTracker,
      coldStartNotifier,
      baselines,
    });
  });

  it("doesn't believe a grant that was delayed more than a newer cold sign", () => {
    const cold = { warmUpState: "cold", seenAtMs: 1000 } as const;
    warmUpTracker.recordIfNewer(server, cold);
    const held = { ...makeHeld(), requestedAtMs: 900, heldSinceMs: 1100 };
    const release = {
      permitId: held.permit.permitId,
      backendServerId: server,
      outcome: "completed",
      durationMs: 50,
    } as const;
    observer.recordRelease(held, release, 1150);
    expect(warmUpTracker.get(server)).toEqual(cold);
  });

  it("reports a slow first token to every member while the call is running", () => {
    observer.recordFirstToken(makeHeld(), BASELINE_MS, 1000);
    expect(recipients).toEqual([]);
    observer.recordFirstToken(makeHeld(), 3 * BASELINE_MS, 1500);
    expect(recipients).toEqual(["vm-1", "vm-2"]);
    expect(warmUpTracker.get(server)).toEqual({
      warmUpState: "cold",
      seenAtMs: 1500,
    });
  });
});
