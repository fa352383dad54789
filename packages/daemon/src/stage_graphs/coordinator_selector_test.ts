import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { rankByRendezvous } from "../peers/rendezvous.js";
import { CoordinatorSelector } from "./coordinator_selector.js";

const GROUP = "stages/encoder";
const VMS = ["a", "b", "c"].map((name) => toId<VmId>(name));
const [
  FIRST = toId<VmId>(""),
  SECOND = toId<VmId>(""),
  THIRD = toId<VmId>(""),
] = rankByRendezvous(GROUP, VMS);

describe("CoordinatorSelector", () => {
  it("selects the same VM on every VM initially", () => {
    for (const self of VMS) {
      const selector = new CoordinatorSelector();
      expect(selector.choose(GROUP, { self, liveVms: VMS }, 0))
        .toEqual(FIRST);
    }
  });

  it("selects the next VM in the ranking when the coordinator is not live", () => {
    const selector = new CoordinatorSelector();
    const liveVms = VMS.filter((vm) => vm !== FIRST);
    expect(selector.choose(GROUP, { self: THIRD, liveVms }, 0)).toEqual(SECOND);
  });

  it("keeps the active coordinator when the former one comes back", () => {
    const selector = new CoordinatorSelector();
    selector.recordAnnouncement(GROUP, SECOND, {
      activeForMs: 3000,
      nowMs: 5000,
    });
    selector.recordAnnouncement(GROUP, FIRST, { activeForMs: 10, nowMs: 5000 });
    expect(selector.choose(GROUP, { self: THIRD, liveVms: VMS }, 5100))
      .toEqual(SECOND);
    // Once no coordinator is active, the ranking decides again.
    expect(selector.choose(GROUP, { self: THIRD, liveVms: VMS }, 9000))
      .toEqual(FIRST);
  });

  it("yields its groups to another coordinator after a pause", () => {
    const selector = new CoordinatorSelector();
    const candidates = { self: FIRST, liveVms: VMS };
    for (let nowMs = 0; nowMs <= 9000; nowMs += 1000) {
      selector.recordOwnJob(GROUP, nowMs);
    }
    expect(selector.coordinatedGroups(9000))
      .toEqual([{ group: GROUP, activeForMs: 9000 }]);
    selector.recordAnnouncement(GROUP, SECOND, {
      activeForMs: 2000,
      nowMs: 9000,
    });
    expect(selector.choose(GROUP, candidates, 9000)).toEqual(FIRST);
    selector.forgetOwnActivity();
    expect(selector.choose(GROUP, candidates, 9000)).toEqual(SECOND);
  });

  it("passes over a coordinator that stopped announcing itself", () => {
    const selector = new CoordinatorSelector();
    const candidates = { self: THIRD, liveVms: VMS };
    selector.recordAnnouncement(GROUP, FIRST, { activeForMs: 9000, nowMs: 0 });
    const times = { listeningSinceMs: 0 };
    expect(selector.isSilent(GROUP, FIRST, { ...times, nowMs: 1000 }))
      .toEqual(false);
    expect(selector.isSilent(GROUP, FIRST, { ...times, nowMs: 1600 }))
      .toEqual(true);
    expect(selector.choose(GROUP, candidates, 1600)).toEqual(SECOND);
    // Later on, the membership tells whether it is live.
    expect(selector.choose(GROUP, candidates, 7000)).toEqual(FIRST);
  });

  it("chooses it again once it is heard", () => {
    const selector = new CoordinatorSelector();
    const candidates = { self: THIRD, liveVms: VMS };
    selector.recordAnnouncement(GROUP, FIRST, { activeForMs: 9000, nowMs: 0 });
    const times = { listeningSinceMs: 0, nowMs: 1600 };
    expect(selector.isSilent(GROUP, FIRST, times)).toEqual(true);
    selector.recordAnnouncement(GROUP, FIRST, {
      activeForMs: 10_700,
      nowMs: 1700,
    });
    expect(selector.choose(GROUP, candidates, 1700)).toEqual(FIRST);
  });

  it("doesn't take its own pause for the coordinator's silence", () => {
    const selector = new CoordinatorSelector();
    selector.recordAnnouncement(GROUP, FIRST, { activeForMs: 9000, nowMs: 0 });
    const times = { listeningSinceMs: 4900, nowMs: 5000 };
    expect(selector.isSilent(GROUP, FIRST, times)).toEqual(false);
  });

  it("doesn't expect announcements of a VM that has sent none", () => {
    const selector = new CoordinatorSelector();
    const times = { listeningSinceMs: 0, nowMs: 9000 };
    expect(selector.isSilent(GROUP, FIRST, times)).toEqual(false);
  });
});
