import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  makeSampleConfiguration,
  SAMPLE_KEY,
} from "../testing/sample_configuration.js";
import {
  parsePipelineRequest,
  type RawRequest,
} from "./parse_pipeline_request.js";

const CONFIGURATION = makeSampleConfiguration();
const GOOD: RawRequest = {
  pipelineName: "draft",
  headers: { authorization: `Bearer ${SAMPLE_KEY}` },
  body: '{"input":{"text":"hello"}}',
};

function reasonOf(overrides: Partial<RawRequest>): string {
  const parsed = parsePipelineRequest(CONFIGURATION, { ...GOOD, ...overrides });
  return parsed.kind === "bad" ? parsed.reason : parsed.kind;
}

function withHeader(name: string, value: string): Partial<RawRequest> {
  return { headers: { ...GOOD.headers, [name]: value } };
}

describe("parsePipelineRequest", () => {
  it("accepts a valid request and defaults to the pipeline's deadline", () => {
    const parsed = parsePipelineRequest(CONFIGURATION, GOOD);
    if (parsed.kind === "bad") throw new Error(parsed.detail);
    expect(parsed.deadlineMs).toEqual(1000);
    expect(parsed.isStream).toEqual(false);
  });

  it("refuses each kind of invalid request with its own reason", () => {
    expect(reasonOf({ headers: {} })).toEqual("unauthorized");
    expect(reasonOf(withHeader("authorization", "Bearer no"))).toEqual(
      "unauthorized",
    );
    expect(reasonOf({ pipelineName: "absent" })).toEqual("unknownPipeline");
    expect(reasonOf({ body: "{" })).toEqual("malformedRequest");
    expect(reasonOf({ body: "{}" })).toEqual("malformedRequest");
    expect(reasonOf({ body: '{"input":1,"other":2}' })).toEqual(
      "malformedRequest",
    );
    for (const deadline of ["0", "-1", "soon", "1001", "1e3"]) {
      expect(reasonOf(withHeader("deadline-ms", deadline))).toEqual(
        "impossibleDeadline",
      );
    }
    expect(reasonOf(withHeader("idempotency-key", "k".repeat(256)))).toEqual(
      "malformedRequest",
    );
  });

  it("hashes different content differently", () => {
    const one = parsePipelineRequest(CONFIGURATION, GOOD);
    const other = parsePipelineRequest(CONFIGURATION, {
      ...GOOD,
      body: '{"input":{"text":"other"}}',
    });
    if (one.kind === "bad" || other.kind === "bad") throw new Error("invalid");
    expect(one.contentSha256 === other.contentSha256).toEqual(false);
  });

  it("doesn't throw for any body", () => {
    fc.assert(
      fc.property(fc.string(), (body) => {
        parsePipelineRequest(CONFIGURATION, { ...GOOD, body });
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});
