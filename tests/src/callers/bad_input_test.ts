import { expect } from "earl";
import { describe, it } from "node:test";
import { request } from "undici";
import { CALLER_KEY, countRuns, withCluster } from "./callers_cluster.js";

interface BadInput {
  readonly expected: string;
  readonly status: number;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

const GOOD_BODY = '{"input":"hello"}';
const TOO_LARGE = `{"input":"${"x".repeat(1_100_000)}"}`;

const BAD_INPUTS: readonly BadInput[] = [
  { expected: "unknownPipeline", status: 404, path: "absent" },
  { expected: "bodyTooLarge", status: 413, body: TOO_LARGE },
  { expected: "malformedRequest", status: 400, body: "{" },
  { expected: "malformedRequest", status: 400, body: "{}" },
  {
    expected: "unauthorized",
    status: 401,
    headers: { authorization: "Bearer wrong" },
  },
  {
    expected: "impossibleDeadline",
    status: 400,
    headers: { "deadline-ms": "0" },
  },
  {
    expected: "impossibleDeadline",
    status: 400,
    headers: { "deadline-ms": "99999999" },
  },
];

describe("the pipeline API", () => {
  it("rejects bad input with the matching reason and runs nothing", async () => {
    await withCluster(async (cluster, url) => {
      for (const badInput of BAD_INPUTS) {
        const answer = await request(
          `${url}/v1/pipelines/${badInput.path ?? "issue"}`,
          {
            method: "POST",
            headers: {
              authorization: `Bearer ${CALLER_KEY}`,
              ...badInput.headers,
            },
            body: badInput.body ?? GOOD_BODY,
          },
        );
        const problem = await answer.body.json() as Record<string, unknown>;
        expect(answer.statusCode).toEqual(badInput.status);
        expect(answer.headers["content-type"]).toEqual(
          "application/problem+json",
        );
        expect(problem["reason"]).toEqual(badInput.expected);
        expect(problem["notRun"]).toEqual(true);
      }
      expect(await countRuns(cluster, "registry")).toEqual(0);
    });
  });
});
