import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { MONOTONIC_CLOCK } from "../clock.js";
import { makeRateLimits } from "../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../register/server_register.js";
import { EAST, ENCODER, makeReport } from "../testing/stage_samples.js";
import type { ServerCandidate } from "./choose_server.js";
import { ServerDirectory } from "./server_directory.js";

const COLD_REQUESTS_PER_SECOND = 10;
const COLD_MS = 60_000;

describe("ServerDirectory", () => {
  let register: ServerRegister;
  let directory: ServerDirectory;

  beforeEach(() => {
    register = new ServerRegister(() => undefined);
    directory = new ServerDirectory({
      register,
      clock: MONOTONIC_CLOCK,
      rateLimits: makeRateLimits(),
      limits: () => ({
        retries: { windowMs: 10_000, ratio: 1, slack: 10 },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => ({
        name: ENCODER,
        connectionLimit: 100,
        coldRequestsPerSecond: COLD_REQUESTS_PER_SECOND,
        batches: undefined,
      }),
      vmCount: () => 1,
    });
  });

  function report(coldRemainingMs: number): void {
    register.apply(
      makeReport("engine-1", { coldRemainingMs }),
      MONOTONIC_CLOCK.nowMs(),
    );
  }

  function assign(): Promise<ServerCandidate | undefined> {
    return directory.assign({
      service: ENCODER,
      dataCentre: EAST,
      prefixKey: undefined,
      excluded: new Set(),
      includesRateLimited: true,
      softwareVersion: undefined,
    });
  }

  it("keeps the cold limit when requests arrive at the same time", async () => {
    report(COLD_MS);
    const assigned = await Promise.all(
      Array.from({ length: 3 * COLD_REQUESTS_PER_SECOND }, assign),
    );
    const count = assigned.filter((candidate) => candidate !== undefined)
      .length;
    expect(count > 0).toEqual(true);
    expect(count <= COLD_REQUESTS_PER_SECOND).toEqual(true);
  });

  it("keeps the cold limit of a server that turns cold during the assignment", async () => {
    report(0);
    const assignments = Array.from(
      { length: 3 * COLD_REQUESTS_PER_SECOND },
      assign,
    );
    report(COLD_MS);
    const assigned = await Promise.all(assignments);
    const count = assigned.filter((candidate) => candidate !== undefined)
      .length;
    expect(count <= COLD_REQUESTS_PER_SECOND).toEqual(true);
  });
});
