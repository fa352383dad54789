import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type ChunkDecision, ResponseChunks } from "./response_chunks.js";
import { SmallChunkLimiter } from "./small_chunk_limiter.js";

const SEED = 20_261_205;
/** Of the shortest event that a sound engine sends in a chunk of its own. */
const SHORT_EVENT = Buffer.from("data: x\n\n");

class Receiver {
  readonly pieces: Buffer[] = [];
  readonly turns: (() => void)[] = [];
  readonly timers: (() => void)[] = [];
  errors = 0;
  resumed = 0;
  nowMs = 0;
  readonly chunks: ResponseChunks;

  constructor(onBytes?: (bytes: Buffer) => void) {
    this.chunks = new ResponseChunks({
      limiter: new SmallChunkLimiter({
        nowMs: () => this.nowMs,
        setTimer: (callback) => this.timers.push(callback),
        nextTurn: (callback) => this.turns.push(callback),
      }),
      onBytes: onBytes ?? ((bytes) => this.pieces.push(bytes)),
      onError: () => {
        this.errors += 1;
      },
    }, () => {
      this.resumed += 1;
    });
  }

  get bytes(): string {
    return Buffer.concat(this.pieces).toString("latin1");
  }
}

describe("ResponseChunks", () => {
  it("doesn't change the bytes or their order however they are cut", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.array(fc.uint8Array({ maxLength: 700 }), { maxLength: 20 }),
          { maxLength: 10 },
        ),
        async (reads) => {
          const receiver = new Receiver();
          for (const read of reads) {
            for (const chunk of read) {
              receiver.chunks.receive(Buffer.from(chunk));
            }
            await Promise.resolve();
          }
          expect(receiver.bytes)
            .toEqual(Buffer.concat(reads.flat()).toString("latin1"));
        },
      ),
      { seed: SEED },
    );
  });

  it("doesn't hand on many pieces for many chunks of one read", async () => {
    const receiver = new Receiver();
    for (let n = 0; n < 1000; n++) receiver.chunks.receive(SHORT_EVENT);
    expect(receiver.pieces.length).toEqual(0);
    await Promise.resolve();
    expect(receiver.pieces.length).toEqual(1);
    expect(receiver.bytes).toEqual(SHORT_EVENT.toString().repeat(1000));
  });

  it("doesn't keep a chunk until the next read", async () => {
    const receiver = new Receiver();
    for (let n = 1; n <= 3; n++) {
      receiver.chunks.receive(SHORT_EVENT);
      await Promise.resolve();
      expect(receiver.pieces.length).toEqual(n);
    }
  });

  it("doesn't let one response have a whole read parsed in one turn", () => {
    const receiver = new Receiver();
    let received = 0;
    let decision: ChunkDecision = "goOn";
    while (decision === "goOn" && received < 10_000) {
      decision = receiver.chunks.receive(SHORT_EVENT);
      received += 1;
    }
    expect(decision).toEqual("pause");
    expect(received).toBeLessThanOrEqual(2048);
    receiver.nowMs += 1000;
    for (const callback of [...receiver.turns, ...receiver.timers]) callback();
    expect(receiver.resumed).toEqual(1);
  });

  it("doesn't resume a response that has ended", () => {
    const receiver = new Receiver();
    while (receiver.chunks.receive(SHORT_EVENT) === "goOn");
    receiver.chunks.stop();
    receiver.nowMs += 1000;
    for (const callback of [...receiver.turns, ...receiver.timers]) callback();
    expect(receiver.resumed).toEqual(0);
  });

  it("ends a response of thousands of chunks of a few bytes, and no other", () => {
    function findEnd(chunk: Buffer): number | undefined {
      const receiver = new Receiver();
      for (let n = 1; n <= 100_000; n++) {
        receiver.nowMs += 1;
        if (receiver.chunks.receive(chunk) === "end") return n;
      }
      return undefined;
    }
    expect(findEnd(Buffer.from("x"))).toEqual(4096);
    expect(findEnd(Buffer.from(":\n\n"))).toEqual(4096);
    expect(findEnd(SHORT_EVENT)).toEqual(undefined);
  });

  it("ends such a response after a large chunk too", () => {
    const receiver = new Receiver();
    receiver.chunks.receive(Buffer.alloc(1_000_000));
    let received = 0;
    while (
      receiver.chunks.receive(Buffer.from("x")) !== "end" && received < 10_000
    ) received += 1;
    expect(received).toBeLessThan(8192);
  });

  it("reports an error of its listener that is thrown after the read", async () => {
    const receiver = new Receiver(() => {
      throw new Error("The listener failed");
    });
    receiver.chunks.receive(SHORT_EVENT);
    await Promise.resolve();
    expect(receiver.errors).toEqual(1);
  });
});
