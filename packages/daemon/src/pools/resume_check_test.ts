import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type DataCentreName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";
import { CONFIRMATION_TIMEOUT_MS, ResumeCheck } from "./resume_check.js";

function member(state: Member["state"], generation: number): Member {
  return {
    vmId: toId<VmId>("vm-2"),
    dataCentre: toId<DataCentreName>("palermo"),
    state,
    isSelf: false,
    generation,
  };
}

describe("ResumeCheck", () => {
  it("is confirmed as long as there was no pause", () => {
    const check = new ResumeCheck();
    expect(check.isConfirmed({ own: 1, members: [] }, 0)).toEqual(true);
  });

  it("waits until another daemon is live and no live one has a newer generation", () => {
    const check = new ResumeCheck();
    check.recordPause(1000);
    const silent = [member("silent", 1)];
    expect(check.isConfirmed({ own: 1, members: silent }, 1010)).toEqual(false);
    const newer = [member("live", 2)];
    expect(check.isConfirmed({ own: 1, members: newer }, 1020)).toEqual(false);
    expect(check.isConfirmed({ own: 2, members: newer }, 1030)).toEqual(true);
  });

  it("is confirmed without other daemons after the timeout", () => {
    const check = new ResumeCheck();
    check.recordPause(1000);
    const atMs = 1000 + CONFIRMATION_TIMEOUT_MS;
    expect(check.isConfirmed({ own: 1, members: [] }, atMs - 1)).toEqual(false);
    expect(check.isConfirmed({ own: 1, members: [] }, atMs)).toEqual(true);
  });
});
