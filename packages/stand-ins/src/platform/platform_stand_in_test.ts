import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import { PlatformStandIn } from "./platform_stand_in.js";

describe("PlatformStandIn", () => {
  let platform: PlatformStandIn;

  beforeEach(async () => {
    platform = new PlatformStandIn();
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
  });

  it("updates an object only if its precondition is met", async () => {
    expect(await put(platform, { "if-none-match": "*" })).toEqual(200);
    expect(await put(platform, { "if-none-match": "*" })).toEqual(412);
    expect(await put(platform, { "if-match": "1" })).toEqual(200);
    expect(await put(platform, { "if-match": "1" })).toEqual(412);
    expect(platform.record().conflicts).toEqual(2);
  });

  it("drops an answer after the write has taken effect", async () => {
    await platform.setFaults({ lostAnswers: 1 });
    await expect(put(platform, { "if-none-match": "*" })).toBeRejected();
    const answer = await request(`${platform.url}/objects/a/b`);
    expect(await answer.body.json()).toEqual({
      key: "a/b",
      version: 1,
      value: { text: "x" },
    });
  });

  it("answers a watch on a change and refuses one that is too old", async () => {
    const watch = request(
      `${platform.url}/watch?prefix=a/&after=0&waitMs=5000`,
    );
    await put(platform, { "if-none-match": "*" });
    const answer = (await (await watch).body.json()) as { revision: number };
    expect(answer.revision).toEqual(1);
    platform.trimHistory();
    const old = await request(`${platform.url}/watch?prefix=a/&after=0`);
    expect(old.statusCode).toEqual(410);
  });

  it("refuses connections while it is down and accepts them afterwards", async () => {
    await platform.setFaults({ isDown: true });
    await expect(put(platform, {})).toBeRejected();
    await platform.setFaults({ isDown: false });
    expect(await put(platform, {})).toEqual(200);
  });

  it("answers 429 above its rate limit", async () => {
    await platform.setFaults({ maxWritesPerSecond: 1 });
    const statuses = [await put(platform, {}), await put(platform, {})];
    expect(statuses).toEqual([200, 429]);
  });
});

async function put(
  platform: PlatformStandIn,
  headers: Record<string, string>,
): Promise<number> {
  const answer = await request(`${platform.url}/objects/a/b`, {
    method: "PUT",
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify({ text: "x" }),
  });
  await answer.body.dump();
  return answer.statusCode;
}
