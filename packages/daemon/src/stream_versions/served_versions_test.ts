import { type SoftwareVersion, toId } from "@sassafrasstage/protocol/ids";
import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RecordingLogger } from "../forwarding/testing/sample_forwarding.js";
import { Metrics } from "../observability/metrics.js";
import { MemoryObjectStore } from "../platform/testing/memory_object_store.js";
import { ServerRegister } from "../register/server_register.js";
import type { MembershipView } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { ENCODER, makeReport, RERANKER } from "../testing/stage_samples.js";
import { ServedVersions } from "./served_versions.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";

const PREFIX = "served/";
/** Longer than the interval of the check. */
const CHECKED_MS = 400;
/** Longer than the delay of a retry. */
const RETRIED_MS = 1500;
/** Longer than any VM waits before it looks for a version. */
const LOOKED_UP_MS = 5400;
const V1 = toId<SoftwareVersion>("v1");
const V2 = toId<SoftwareVersion>("v2");

describe("ServedVersions", () => {
  let store: MemoryObjectStore;
  let register: ServerRegister;
  let nowMs: number;
  let started: ServedVersions[];

  beforeEach(() => {
    store = new MemoryObjectStore();
    register = new ServerRegister(() => undefined);
    nowMs = 0;
    started = [];
  });

  afterEach(() => {
    for (const served of started) served.close();
  });

  function start(network = new LinkedVm("vm-1")): ServedVersions {
    const served = new ServedVersions({
      store: store.connect(),
      objectFormat: {
        servedVersionsPrefix: PREFIX,
        servedVersionKey: ({ service, softwareVersion }) =>
          `${PREFIX}${service}-${softwareVersion}`,
        servedVersionValue: (version) => version,
        readServedVersion: ({ value }) =>
          typeof value === "object"
            ? { kind: "value", value: value as StreamOrigin }
            : { kind: "unreadable", detail: "not an object" },
      },
      network,
      register,
      clock: { nowMs: () => nowMs },
      metrics: new Metrics(),
      logger: new RecordingLogger(),
    });
    started.push(served);
    return served;
  }

  it("tells a later process which versions have served", async () => {
    register.apply(makeReport("a"), 0);
    register.apply(makeReport("b", { softwareVersion: V2 }), 0);
    const earlier = start();
    await sleep(CHECKED_MS);
    earlier.close();
    register.remove(makeReport("a").id);
    const later = start();
    await sleep(CHECKED_MS);
    const { versions, isComplete } = later.recorded(ENCODER);
    expect([...versions].sort()).toEqual([V1, V2]);
    expect(isComplete).toEqual(true);
  });

  it("is complete in a new system", async () => {
    const served = start();
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER)).toEqual({
      versions: [],
      isComplete: true,
    });
  });

  it("isn't complete for a service of which nothing was recorded", async () => {
    store.put(`${PREFIX}other`, { service: RERANKER, softwareVersion: V1 });
    const served = start();
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER).isComplete).toEqual(false);
    expect(served.recorded(RERANKER).isComplete).toEqual(true);
  });

  it("isn't complete before it has read what was recorded", async () => {
    store.isDown = true;
    const served = start();
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER).isComplete).toEqual(false);
    store.isDown = false;
    await sleep(RETRIED_MS);
    expect(served.recorded(ENCODER).isComplete).toEqual(true);
  });

  it("records a version once the platform is back", async () => {
    start();
    await sleep(CHECKED_MS);
    store.isDown = true;
    register.apply(makeReport("a"), 0);
    await sleep(CHECKED_MS);
    expect(store.objects.size).toEqual(0);
    store.isDown = false;
    await sleep(RETRIED_MS);
    expect([...store.objects.keys()]).toEqual([`${PREFIX}${ENCODER}-${V1}`]);
  });

  it("removes a version once its streams can't be taken up any more", async () => {
    register.apply(makeReport("a"), 0);
    const served = start();
    await sleep(CHECKED_MS);
    register.remove(makeReport("a").id);
    await sleep(CHECKED_MS);
    nowMs += ORIGIN_RETENTION_MS - 1;
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER).versions).toEqual([V1]);
    expect(store.objects.size).toEqual(1);
    nowMs += 1;
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER).versions).toEqual([]);
    expect(store.objects.size).toEqual(0);
  });

  it("ignores objects that can't be read", async () => {
    store.put(`${PREFIX}bad`, "text");
    const served = start();
    await sleep(CHECKED_MS);
    expect(served.recorded(ENCODER)).toEqual({
      versions: [],
      isComplete: false,
    });
  });

  /** Each VM of a large fleet once read every version after its start. */
  it("is left to the VMs that rank first while these live", async () => {
    register.apply(makeReport("a"), 0);
    const name = `${ENCODER}--${V1}`;
    const fleet = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    const [last = ""] = rankByRendezvous(name, fleet).slice(-1);
    const network = new FleetMember(last, fleet);
    start(network);
    await sleep(LOOKED_UP_MS);
    expect(store.calls.get("read") ?? 0).toEqual(0);
    expect(store.objects.size).toEqual(0);
    network.setFleet([last]);
    await sleep(CHECKED_MS);
    expect(store.objects.size).toEqual(1);
  });
});

/** A VM whose view lists a fleet of live VMs. */
class FleetMember extends LinkedVm {
  #view: MembershipView = { members: [] };

  constructor(name: string, fleet: readonly string[]) {
    super(name);
    this.setFleet(fleet);
  }

  setFleet(names: readonly string[]): void {
    this.#view = {
      members: names.flatMap((name) => new LinkedVm(name).view().members),
    };
  }

  override view(): MembershipView {
    return this.#view;
  }
}
