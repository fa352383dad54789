import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import { readServerSentEvents } from "../cluster/server_sent_events.js";
import { EngineStandIn } from "./engine_stand_in.js";
import { expectedText, expectedTokens } from "./expected_output.js";

const PROMPT = "<<coin-1>> Describe the coin";

describe("EngineStandIn", () => {
  let engine: EngineStandIn;

  beforeEach(async () => {
    engine = new EngineStandIn({
      timings: { firstTokenMs: 1, betweenTokensMs: 1 },
    });
    await engine.start();
  });

  afterEach(async () => {
    await engine.stop();
  });

  it("streams the expected tokens with the id of the request", async () => {
    const answer = await complete(engine, { id: "a1", stream: true });
    const texts: string[] = [];
    for await (const event of readServerSentEvents(answer.body)) {
      if (event.data === "[DONE]") break;
      const chunk = JSON.parse(event.data) as Chunk;
      expect(chunk.id).toEqual("a1");
      texts.push(chunk.choices[0]?.text ?? "");
    }
    expect(answer.headers["x-request-id"]).toEqual("a1");
    expect(texts.slice(0, -1)).toEqual(expectedTokens(PROMPT, 4));
  });

  it("answers with the id of another request when the fault is set", async () => {
    await (await complete(engine, { id: "a1" })).body.dump();
    await engine.setFaults({ wrongEchoRatio: 1 });
    const answer = await complete(engine, { id: "a2" });
    expect(((await answer.body.json()) as Chunk).id).toEqual("a1");
  });

  it("breaks off a stream after the given number of tokens", async () => {
    await engine.setFaults({ breakRatio: 1, breakAfterTokens: 2 });
    const answer = await complete(engine, { id: "a1", stream: true });
    await expect(answer.body.text()).toBeRejected();
    expect(engine.record().entries[0]?.outcome).toEqual("failed");
  });

  it("cancels a call whose caller disconnects", async () => {
    await engine.setFaults({ isFrozen: true });
    const abort = new AbortController();
    const call = complete(engine, { id: "a1", signal: abort.signal });
    while (engine.record().inFlight === 0) await waitBriefly();
    abort.abort();
    await expect(call).toBeRejected();
    while (engine.record().inFlight > 0) await waitBriefly();
    expect(engine.record().entries[0]?.outcome).toEqual("canceled");
  });

  it("answers an unstreamed call with the expected text", async () => {
    const answer = await complete(engine, { id: "a9" });
    const body = (await answer.body.json()) as Chunk;
    expect(body.choices[0]?.text).toEqual(expectedText(PROMPT, 4));
  });
});

interface Chunk {
  readonly id: string;
  readonly choices: readonly { readonly text: string }[];
}

interface CompleteOptions {
  readonly id: string;
  readonly stream?: boolean;
  readonly signal?: AbortSignal;
}

function complete(
  engine: EngineStandIn,
  options: CompleteOptions,
): ReturnType<typeof request> {
  return request(`${engine.url}/v1/completions`, {
    method: "POST",
    headers: { "x-request-id": options.id },
    body: JSON.stringify({
      prompt: PROMPT,
      max_tokens: 4,
      stream: options.stream ?? false,
    }),
    signal: options.signal ?? null,
  });
}

function waitBriefly(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 5));
}
