import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type PipelineName,
  type StageName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { StageEstimates } from "./stage_estimates.js";

const REF = {
  pipeline: toId<PipelineName>("draft"),
  stage: toId<StageName>("write"),
};

describe("StageEstimates", () => {
  it("has no estimate before five samples", () => {
    const estimates = new StageEstimates();
    for (let index = 0; index < 4; index += 1) estimates.record(REF, 100, 0);
    expect(estimates.likelyMs(REF, 0)).toEqual(0);
    estimates.record(REF, 100, 0);
    expect(estimates.likelyMs(REF, 1000)).toEqual(100);
  });

  it("drops old slow durations, so that requests are admitted again", () => {
    const estimates = new StageEstimates();
    for (let index = 0; index < 50; index += 1) estimates.record(REF, 9000, 0);
    expect(estimates.likelyMs(REF, 1000) > 8000).toEqual(true);
    expect(estimates.likelyMs(REF, 25_000)).toEqual(0);
  });
});
