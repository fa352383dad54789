import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { type AttemptId, toId } from "@sassafrasstage/protocol/ids";
import { MONOTONIC_CLOCK } from "../clock.js";
import { makeSampleConfiguration } from "../testing/sample_configuration.js";
import { createStageCaller } from "./create_stage_caller.js";
import type { StageCall } from "./stage_call.js";

const SOURCE_ADDRESS = "127.1.0.9";

function makeCall(
  port: number,
  overrides: Pick<StageCall, "mayStart">,
): StageCall {
  const service = makeSampleConfiguration().register.services.find((entry) =>
    entry.kind === "plain"
  );
  if (service === undefined) throw new Error("Expected a plain service");
  return {
    attemptId: toId<AttemptId>("attempt-1"),
    service,
    url: `http://127.0.0.1:${port}`,
    operation: "look-up",
    input: {},
    maxTokens: 1,
    urgency: "counter",
    ...overrides,
  };
}

describe("createStageCaller", () => {
  it("sends no request when mayStart returns false", async () => {
    let requests = 0;
    const server = createServer((_request, response) => {
      requests += 1;
      response.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const caller = createStageCaller({ clock: MONOTONIC_CLOCK });
    const call = makeCall(port, { mayStart: () => false });
    const result = await caller.call(call, new AbortController().signal);
    await caller.close();
    server.close();
    if (result.kind !== "failed") throw new Error("Expected a failure");
    expect(result.mayHaveRun).toEqual(false);
    expect(requests).toEqual(0);
  });

  it("connects from the configured source address", async () => {
    let remoteAddress: string | undefined;
    const server = createServer((request, response) => {
      remoteAddress = request.socket.remoteAddress;
      const requestId = request.headers["x-request-id"];
      response.end(JSON.stringify({ requestId, output: 1 }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const caller = createStageCaller({
      clock: MONOTONIC_CLOCK,
      sourceAddress: SOURCE_ADDRESS,
    });
    const call = makeCall(port, { mayStart: () => true });
    const result = await caller.call(call, new AbortController().signal);
    await caller.close();
    server.close();
    expect(result.kind).toEqual("completed");
    expect(remoteAddress).toEqual(SOURCE_ADDRESS);
  });
});
