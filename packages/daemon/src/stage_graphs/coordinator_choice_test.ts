import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { rankByRendezvous } from "../peers/rendezvous.js";
import { CoordinatorChoice } from "./coordinator_choice.js";

const GROUP = "stages/encoder";
const VMS = ["a", "b", "c"].map((name) => toId<VmId>(name));
const [
  PREFERRED = toId<VmId>(""),
  NEXT = toId<VmId>(""),
  THIRD = toId<VmId>(""),
] = rankByRendezvous(GROUP, VMS);

describe("CoordinatorChoice", () => {
  it("starts with the same VM everywhere", () => {
    for (const self of VMS) {
      const choice = new CoordinatorChoice();
      expect(choice.choose(GROUP, { self, liveVms: VMS }, 0))
        .toEqual(PREFERRED);
    }
  });

  it("goes to the next one when the coordinator falls silent", () => {
    const choice = new CoordinatorChoice();
    const liveVms = VMS.filter((vm) => vm !== PREFERRED);
    expect(choice.choose(GROUP, { self: THIRD, liveVms }, 0)).toEqual(NEXT);
  });

  it("stays with the one that works when the former one comes back", () => {
    const choice = new CoordinatorChoice();
    choice.noteAnnouncement(GROUP, NEXT, { activeForMs: 3000, nowMs: 5000 });
    choice.noteAnnouncement(GROUP, PREFERRED, { activeForMs: 10, nowMs: 5000 });
    expect(choice.choose(GROUP, { self: THIRD, liveVms: VMS }, 5100))
      .toEqual(NEXT);
    // When nobody works any longer the ranking decides again.
    expect(choice.choose(GROUP, { self: THIRD, liveVms: VMS }, 9000))
      .toEqual(PREFERRED);
  });

  it("hands its own groups over after a pause", () => {
    const choice = new CoordinatorChoice();
    const candidates = { self: PREFERRED, liveVms: VMS };
    for (let nowMs = 0; nowMs <= 9000; nowMs += 1000) {
      choice.noteOwnJob(GROUP, nowMs);
    }
    expect(choice.ownGroups(9000))
      .toEqual([{ group: GROUP, activeForMs: 9000 }]);
    choice.noteAnnouncement(GROUP, NEXT, { activeForMs: 2000, nowMs: 9000 });
    expect(choice.choose(GROUP, candidates, 9000)).toEqual(PREFERRED);
    choice.forgetOwnActivity();
    expect(choice.choose(GROUP, candidates, 9000)).toEqual(NEXT);
  });
});
