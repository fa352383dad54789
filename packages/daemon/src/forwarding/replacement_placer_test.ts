import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ServerRateLimits } from "../rate_limits/server_rate_limits.js";
import { SimulatedStream } from "./testing/simulated_stream.js";

/** The time in which no permit is granted begins before the silence is noticed. */
const DENIED_FROM_MS = 1000;
const DENIED_UNTIL_MS = 3000;
const LONG_SILENCE_MS = 5000;

describe("a silent stream for which no server can be had at first", () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  });

  afterEach(() => {
    mock.timers.reset();
    mock.restoreAll();
  });

  it("goes on at another server once there is one", async () => {
    const stream = startWithDenials();
    await stream.advance(100);
    stream.call(0).sendHead();
    stream.call(0).sendEvent(1);
    await stream.advance(LONG_SILENCE_MS);
    expect(stream.calls.length).toEqual(2);
  });

  /** The owner of the other server's rate limit denies the permits. */
  function startWithDenials(): SimulatedStream {
    const stream = new SimulatedStream(mock.timers, {
      servers: { a: "v1", b: "v1" },
    });
    mock.method(ServerRateLimits.prototype, "acquire", () => {
      const { nowMs } = stream;
      const isDenied = nowMs >= DENIED_FROM_MS && nowMs < DENIED_UNTIL_MS;
      return Promise.resolve(!isDenied);
    });
    return stream;
  }
});
