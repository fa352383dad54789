import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import {
  SimulatedStream,
  type SimulatedStreamOptions,
} from "./testing/simulated_stream.js";

const EVENT_1 = "id: 1\ndata: 1\n\n";
const EVENT_2 = "id: 2\ndata: 2\n\n";

for (const endsWithConnection of [false, true]) {
  const framing = endsWithConnection
    ? "with its connection"
    : "by length or chunks";
  describe(`a server's stream that ends ${framing}`, () => {
    beforeEach(() => {
      mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    });

    afterEach(() => {
      mock.timers.reset();
    });

    /** A stream whose first server ends inside the second event. */
    async function endInsideEvent(
      options: Partial<SimulatedStreamOptions> = {},
    ): Promise<SimulatedStream> {
      const stream = new SimulatedStream(mock.timers, {
        servers: { a: "v1", b: "v1" },
        ...options,
      });
      await stream.advance(100);
      stream.call(0).sendHead({ endsWithConnection });
      stream.call(0).sendBytes(`${EVENT_1}id: 2\nda`);
      stream.call(0).end();
      await stream.advance(100);
      return stream;
    }

    it("is complete after its last whole event", async () => {
      const stream = new SimulatedStream(mock.timers, {
        servers: { a: "v1" },
      });
      await stream.advance(100);
      stream.call(0).sendHead({ endsWithConnection });
      stream.call(0).sendBytes(EVENT_1 + EVENT_2);
      stream.call(0).end();
      await stream.settle();
      expect(stream.body).toEqual(EVENT_1 + EVENT_2);
      expect(stream.head?.endsWithConnection).toEqual(endsWithConnection);
      expect(stream.end).toEqual("complete");
    });

    it("goes on elsewhere if it ended inside an event", async () => {
      const stream = await endInsideEvent();
      const [first, second] = [stream.call(0), stream.call(1)];
      expect(second.resumeAfter).toEqual(1);
      expect(stream.health(first.server).failureScore(stream.nowMs) > 0.9)
        .toEqual(true);
      second.sendHead({ endsWithConnection });
      second.sendBytes(EVENT_2);
      second.end();
      await stream.settle();
      expect(stream.body).toEqual(EVENT_1 + EVENT_2);
      expect(stream.end).toEqual("complete");
    });

    it("looks incomplete if it ended inside an event and can't be resumed", async () => {
      const stream = await endInsideEvent({ isResumable: false });
      expect(stream.body).toEqual(EVENT_1);
      expect(stream.end).toEqual("aborted");
    });

    it("looks incomplete if no server is left after it ended inside an event", async () => {
      const stream = await endInsideEvent({ servers: { a: "v1" } });
      expect(stream.body).toEqual(EVENT_1);
      expect(stream.end).toEqual("aborted");
    });

    it("isn't complete without an event if it ended inside its first one", async () => {
      const stream = new SimulatedStream(mock.timers, { servers: { a: "v1" } });
      await stream.advance(100);
      stream.call(0).sendHead({ endsWithConnection });
      stream.call(0).sendBytes("id: 1\n");
      stream.call(0).end();
      await stream.settle();
      expect(stream.head).toEqual(undefined);
      expect(stream.end).toEqual("localReply");
    });

    it("keeps the framing of its first server", async () => {
      const stream = await endInsideEvent();
      const second = stream.call(1);
      second.sendHead({ endsWithConnection: !endsWithConnection });
      second.sendBytes(EVENT_2);
      second.end();
      await stream.advance(100);
      expect(stream.head?.endsWithConnection).toEqual(endsWithConnection);
      // A cut at the end of the connection would look complete in chunks.
      expect(stream.end)
        .toEqual(endsWithConnection ? "complete" : "aborted");
    });
  });
}
