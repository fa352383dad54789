import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { SimulatedStream } from "./testing/simulated_stream.js";

/** Longer than the silence that sound servers have. */
const LONG_SILENCE_MS = 1800;

describe("a complete answer of a server that was silent", () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  });

  afterEach(() => {
    mock.timers.reset();
  });

  it("isn't replaced by a failure when its replacement refuses", async () => {
    const stream = new SimulatedStream(mock.timers, {
      servers: { a: "v1", b: "v1" },
      retries: 1,
    });
    await stream.advance(LONG_SILENCE_MS);
    const [first, second] = [stream.call(0), stream.call(1)];
    first.sendHead({ status: 400 });
    first.sendBytes("The prompt is too long");
    first.end();
    await stream.settle();
    second.refuse();
    await stream.settle();
    expect(stream.head?.status).toEqual(400);
    expect(stream.end).toEqual("complete");
  });
});
