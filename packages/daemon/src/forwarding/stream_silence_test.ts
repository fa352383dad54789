import { type SuspectId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { makePoisonParts } from "./testing/make_poison_parts.js";
import {
  type SimulatedCall,
  SimulatedStream,
  type SimulatedStreamOptions,
} from "./testing/simulated_stream.js";

const PART = toId<SuspectId>("aa");
const TWO_SERVERS = { a: "v1", b: "v1" };
const EVENT_COUNT = 8;
/** Longer than the silence that sound servers have. */
const LONG_SILENCE_MS = 1800;
const MAX_OVERLAP_MS = 400;
const SEED_COUNT = 300;
const MAX_RANDOM_SILENCE_MS = 3000;
const STREAM_TIMEOUT_MS = 20_000;
const STEP_MS = 100;

function eventsUpTo(lastId: number): string {
  return Array.from({ length: lastId }, (_, index) => {
    const id = index + 1;
    return `id: ${id}\ndata: ${id}\n\n`;
  }).join("");
}

/** Sends the rest of a stream. */
function sendFrom(call: SimulatedCall, firstId: number): void {
  for (let id = firstId; id <= EVENT_COUNT; id++) call.sendEvent(id);
  call.end();
}

describe("a stream whose server falls silent", () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  });

  afterEach(() => {
    mock.timers.reset();
  });

  function start(
    options: Partial<SimulatedStreamOptions> = {},
  ): SimulatedStream {
    return new SimulatedStream(mock.timers, {
      servers: TWO_SERVERS,
      ...options,
    });
  }

  /** A stream whose first server has sent three events. */
  async function startSilent(
    options: Partial<SimulatedStreamOptions> = {},
  ): Promise<SimulatedStream> {
    const stream = start(options);
    await stream.advance(100);
    const first = stream.call(0);
    first.sendHead();
    for (let id = 1; id <= 3; id++) first.sendEvent(id);
    return stream;
  }

  function expectWhole(stream: SimulatedStream): void {
    expect(stream.body).toEqual(eventsUpTo(EVENT_COUNT));
    expect(stream.end).toEqual("complete");
  }

  /** The first server goes on after its silence. */
  async function expectGoesOn(stream: SimulatedStream): Promise<void> {
    await stream.advance(LONG_SILENCE_MS);
    const first = stream.call(0);
    expect(first.isCanceled).toEqual(false);
    sendFrom(first, 4);
    await stream.settle();
    expectWhole(stream);
  }

  const HINDRANCES: Readonly<Record<string, Partial<SimulatedStreamOptions>>> =
    {
      "no other server exists": { servers: { a: "v1" } },
      "the retry budget is spent": { retries: 0 },
      "the others refuse": {
        onCall: (call) => {
          if (call.startedAtMs > 1000) {
            setImmediate(() => {
              call.refuse();
            });
          }
        },
      },
      "the others can't be reached": {
        onCall: (call) => {
          if (call.startedAtMs > 1000) {
            setImmediate(() => {
              call.fail("notSent");
            });
          }
        },
      },
      "the others break off": {
        onCall: (call) => {
          if (call.startedAtMs > 1000) {
            setImmediate(() => {
              call.fail("broken");
            });
          }
        },
      },
      "the others are silent too": {},
    };
  for (const [hindrance, options] of Object.entries(HINDRANCES)) {
    it(`isn't cut off in the middle while ${hindrance}`, async () => {
      await expectGoesOn(await startSilent(options));
    });

    it(`isn't cut off before its first event while ${hindrance}`, async () => {
      const stream = start(options);
      await stream.advance(LONG_SILENCE_MS);
      const first = stream.call(0);
      expect(first.isCanceled).toEqual(false);
      first.sendHead();
      sendFrom(first, 1);
      await stream.settle();
      expectWhole(stream);
      expect(stream.calls.every((call) => !call.isOpen)).toEqual(true);
    });
  }

  it("isn't cut off while no other server has its version", async () => {
    // The first server is any of the two.
    await expectGoesOn(await startSilent({ servers: { a: "v1", b: "v2" } }));
  });

  it("goes on at another server that delivers first", async () => {
    const stream = await startSilent();
    await stream.advance(LONG_SILENCE_MS);
    const [first, second] = [stream.call(0), stream.call(1)];
    expect(second.server).not.toEqual(first.server);
    expect(second.resumeAfter).toEqual(3);
    second.sendHead();
    second.sendBytes("id: 4\nda");
    expect(first.isCanceled).toEqual(false);
    second.sendBytes("ta: 4\n\n");
    expect(first.isCanceled).toEqual(true);
    expect(stream.health(first.server).failureScore(stream.nowMs) > 0.9)
      .toEqual(true);
    sendFrom(second, 5);
    await stream.settle();
    expectWhole(stream);
  });

  it("is worked on by one server only, soon after another one has begun", async () => {
    const stream = await startSilent();
    await stream.advance(LONG_SILENCE_MS);
    stream.call(1).sendHead();
    await stream.advance(MAX_OVERLAP_MS);
    expect(stream.call(0).isCanceled).toEqual(true);
    expect(stream.call(1).isCanceled).toEqual(false);
    sendFrom(stream.call(1), 4);
    await stream.settle();
    expectWhole(stream);
  });

  it("cancels the other call when the first server goes on", async () => {
    const stream = await startSilent();
    await stream.advance(LONG_SILENCE_MS);
    const [first, second] = [stream.call(0), stream.call(1)];
    second.sendHead();
    first.sendEvent(4);
    expect(second.isCanceled).toEqual(true);
    expect(stream.health(first.server).failureScore(stream.nowMs))
      .toEqual(0);
    sendFrom(first, 5);
    await stream.settle();
    expectWhole(stream);
  });

  it("goes on at the other server when the silent call breaks", async () => {
    const stream = await startSilent();
    await stream.advance(LONG_SILENCE_MS);
    stream.call(0).fail("broken");
    await stream.advance(100);
    expect(stream.calls.length).toEqual(2);
    stream.call(1).sendHead();
    sendFrom(stream.call(1), 4);
    await stream.settle();
    expectWhole(stream);
  });

  it("isn't sent to more servers than the route's attempts", async () => {
    const stream = await startSilent({
      servers: { a: "v1", b: "v1", c: "v1", d: "v1" },
      maxAttempts: 3,
    });
    await stream.advance(3 * LONG_SILENCE_MS);
    expect(stream.calls.length).toEqual(3);
  });

  it("isn't sent elsewhere if it can't be resumed", async () => {
    const stream = await startSilent({ isResumable: false });
    await expectGoesOn(stream);
    expect(stream.calls.length).toEqual(1);
  });

  it("ends all calls when the client leaves", async () => {
    const stream = await startSilent();
    await stream.advance(LONG_SILENCE_MS);
    expect(stream.calls.length).toEqual(2);
    stream.lifetime.endForClientDisconnect();
    await stream.settle();
    expect(stream.calls.every((call) => call.isCanceled)).toEqual(true);
    expect(stream.outcome?.kind).toEqual("clientGone");
  });

  it("forwards each event once or ends visibly, whatever its servers do", async () => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) await runRandomStream(seed);
  });

  async function runRandomStream(seed: number): Promise<void> {
    const random = xoroshiro128plus(seed);
    function draw(max: number): number {
      return uniformInt(random, 0, max);
    }
    const servers: RandomServer[] = [];
    const stream = start({
      servers: { a: "v1", b: "v1", c: "v1" },
      maxAttempts: 2 + draw(1),
      retries: draw(3),
      onCall: (call) => servers.push(new RandomServer(call, draw)),
    });
    const leavesAtMs = draw(3) === 0 ? draw(6000) : Infinity;
    while (!stream.isEnded && stream.nowMs <= STREAM_TIMEOUT_MS) {
      await stream.advance(STEP_MS, () => {
        for (const server of servers) server.act(stream.nowMs);
        if (stream.nowMs < leavesAtMs) return;
        stream.lifetime.endForClientDisconnect();
      });
    }
    try {
      expect(stream.error).toEqual(undefined);
      expect(eventsUpTo(EVENT_COUNT).startsWith(stream.body)).toEqual(true);
      if (stream.end === "complete") expectWhole(stream);
      else if (leavesAtMs === Infinity) {
        expect(stream.end)
          .toEqual(stream.body === "" ? "localReply" : "aborted");
      }
      expect(stream.isEnded).toEqual(true);
      expect(stream.calls.filter((call) => call.isOpen)).toEqual([]);
      expect(longestOverlapMs(stream.calls) <= MAX_OVERLAP_MS).toEqual(true);
      expect(stream.health("a").inFlight).toEqual(0);
      expect(stream.health("a").silentCalls).toEqual(0);
    } catch (error) {
      throw new Error(`Seed ${seed}: ${stream.body}`, { cause: error });
    }
    mock.timers.reset();
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  }

  it("isn't replaced if a part of its prompt was blocked meanwhile", async () => {
    let isBlocked = false;
    const poisonParts = makePoisonParts();
    poisonParts.admit = () =>
      isBlocked
        ? { kind: "refused", part: PART, retryAfterMs: 1000 }
        : { kind: "admitted" };
    const stream = start({ poisonParts });
    await stream.advance(100);
    isBlocked = true;
    await stream.advance(2 * LONG_SILENCE_MS);
    expect(stream.calls.length).toEqual(1);
    expect(stream.call(0).isOpen).toEqual(true);
  });
});

/** Time for which two servers worked on one stream. */
function longestOverlapMs(calls: readonly SimulatedCall[]): number {
  const overlaps = calls.flatMap((one, index) =>
    calls.slice(index + 1).map((other) => {
      const startMs = Math.max(
        one.firstEventAtMs ?? Infinity,
        other.firstEventAtMs ?? Infinity,
      );
      const endMs = Math.min(
        one.closedAtMs ?? Infinity,
        other.closedAtMs ?? Infinity,
      );
      return endMs - startMs;
    })
  );
  return Math.max(0, ...overlaps);
}

/** A server that answers, falls silent, breaks off or refuses at random. */
class RandomServer {
  readonly #call: SimulatedCall;
  readonly #draw: (max: number) => number;
  readonly #breaksAt: number;
  readonly #silentAt: number;
  #nextId: number;
  #nextAtMs: number;
  #hasHead = false;
  #partialEvent: string | undefined;

  constructor(call: SimulatedCall, draw: (max: number) => number) {
    this.#call = call;
    this.#draw = draw;
    this.#nextId = call.resumeAfter + 1;
    this.#nextAtMs = call.startedAtMs + 10 * (1 + draw(10));
    // One event in two streams is the last before the server breaks off.
    this.#breaksAt = draw(2 * EVENT_COUNT);
    this.#silentAt = draw(EVENT_COUNT + 2);
    if (this.#nextId === this.#silentAt) this.#fallSilent();
  }

  act(nowMs: number): void {
    if (!this.#call.isOpen || nowMs < this.#nextAtMs) return;
    this.#nextAtMs = nowMs + 10 * (1 + this.#draw(10));
    if (!this.#hasHead) this.#begin();
    else if (this.#nextId > EVENT_COUNT) this.#call.end();
    else if (this.#nextId === this.#breaksAt) this.#breakOff();
    else this.#sendPart();
  }

  #begin(): void {
    const choice = this.#draw(9);
    if (choice === 0) this.#call.refuse();
    else if (choice === 1) this.#call.fail("notSent");
    else {
      this.#hasHead = true;
      this.#call.sendHead();
    }
  }

  /** Some end without an error, but inside an event. */
  #breakOff(): void {
    if (this.#draw(1) === 0) {
      this.#call.fail("broken");
      return;
    }
    this.#call.sendBytes(this.#partialEvent === undefined ? "id:" : "");
    this.#call.end();
  }

  #sendPart(): void {
    const id = this.#nextId;
    const event = `id: ${id}\ndata: ${id}\n\n`;
    if (this.#partialEvent !== undefined) {
      this.#call.sendBytes(event.slice(this.#partialEvent.length));
      this.#partialEvent = undefined;
    } else if (this.#draw(3) === 0) {
      this.#partialEvent = event.slice(0, this.#draw(event.length - 2) + 1);
      this.#call.sendBytes(this.#partialEvent);
      return;
    } else this.#call.sendEvent(id);
    this.#nextId += 1;
    if (this.#nextId === this.#silentAt) this.#fallSilent();
  }

  #fallSilent(): void {
    this.#nextAtMs += 10 * this.#draw(MAX_RANDOM_SILENCE_MS / 10);
  }
}
