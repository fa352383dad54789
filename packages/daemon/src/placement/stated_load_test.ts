import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type PlainServiceOptions,
  simulatePlainService,
} from "./testing/simulated_plain_service.js";

const SMALL_FLEET: PlainServiceOptions = {
  seed: 1,
  vmCount: 22,
  serverCount: 12,
  slots: 2,
  requestsPerSecond: 300,
  workMs: 30,
  objectiveMs: 150,
  durationMs: 10_000,
  figures: "four",
  slowdowns: [0.7, 3],
};

describe("plain servers of different speed on shared machines", () => {
  it("serve more requests on time when their stated load is used", () => {
    const fleets = [
      SMALL_FLEET,
      { ...SMALL_FLEET, vmCount: 84, serverCount: 10, requestsPerSecond: 250 },
      { ...SMALL_FLEET, vmCount: 6, serverCount: 13 },
    ];
    const gains = fleets.map((fleet) => {
      const after = simulatePlainService(fleet).onTimeShare;
      const before = simulatePlainService({ ...fleet, figures: "three" })
        .onTimeShare;
      return after - before;
    });
    expect(gains.every((gain) => gain > -0.005)).toEqual(true);
    expect(gains.filter((gain) => gain > 0.1).length >= 2).toEqual(true);
  });

  it("are chosen as without statements when they state three figures", () => {
    expect(simulatePlainService({ ...SMALL_FLEET, figures: "three" }))
      .toEqual(simulatePlainService({ ...SMALL_FLEET, figures: "none" }));
  });

  it("don't attract the load by stating that they are idle and fast", () => {
    const honest = simulatePlainService(SMALL_FLEET);
    const lying = simulatePlainService({ ...SMALL_FLEET, falseSlowdown: 0.25 });
    expect(lying.onTimeShare > honest.onTimeShare - 0.03).toEqual(true);
    expect(lying.firstServerShare < 2 * honest.firstServerShare)
      .toEqual(true);
  });
});
