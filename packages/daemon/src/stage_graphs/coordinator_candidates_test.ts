import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Member } from "../peers/peer_network.js";
import { EAST, ENCODER } from "../testing/stage_samples.js";
import { coordinatorCandidates } from "./coordinator_candidates.js";

function makeMember(name: string, member: Partial<Member> = {}): Member {
  return {
    vmId: toId<VmId>(name),
    dataCentre: EAST,
    state: "live",
    isSelf: false,
    generation: 0,
    ...member,
  };
}

function namesOf(members: readonly Member[]): string[] {
  return coordinatorCandidates(members).map(String);
}

describe("coordinatorCandidates", () => {
  it("leaves out VMs of less than half the largest one's capacity", () => {
    const members = [
      makeMember("small", { processorCores: 0.3 }),
      makeMember("medium", { processorCores: 0.7 }),
      makeMember("large", { processorCores: 1.35 }),
    ];
    expect(namesOf(members)).toEqual(["medium", "large"]);
  });

  it("compares with live VMs only", () => {
    const members = [
      makeMember("small", { processorCores: 0.3 }),
      makeMember("silent", { processorCores: 1.35, state: "silent" }),
      makeMember("leaving", { processorCores: 1.35, state: "leaving" }),
    ];
    expect(namesOf(members)).toEqual(["small"]);
  });

  it("uses VMs of unknown size only if no size is known", () => {
    const unknown = [makeMember("a"), makeMember("b")];
    expect(namesOf(unknown)).toEqual(["a", "b"]);
    expect(namesOf([...unknown, makeMember("c", { processorCores: 0.3 })]))
      .toEqual(["c"]);
  });

  it("leaves out VMs that are cut off from servers others reach", () => {
    const cutOff = makeMember("cut-off", { cutOffServices: [ENCODER] });
    expect(namesOf([cutOff, makeMember("other")])).toEqual(["other"]);
    expect(namesOf([cutOff])).toEqual(["cut-off"]);
  });
});
