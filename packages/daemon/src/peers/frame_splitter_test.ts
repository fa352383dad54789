import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { countRetainedChunks } from "../testing/count_retained.js";
import { decodePayload, encodeFrame } from "./frame_codec.js";
import { FrameSplitter } from "./frame_splitter.js";
import { isPeerMessage } from "./message_check.js";
import { PeerError } from "./peer_error.js";

const SEED = 20_261_203;
const MAX_BYTES = 4096;

function splitAll(splitter: FrameSplitter, bytes: Buffer): unknown[] {
  splitter.push(bytes);
  const values: unknown[] = [];
  for (let p = splitter.next(); p !== undefined; p = splitter.next()) {
    values.push(decodePayload(p));
  }
  return values;
}

/** Splits at the given positions, each taken modulo the length plus one. */
function cut(bytes: Buffer, cutPositions: readonly number[]): Buffer[] {
  const cutEnds = cutPositions.map((position) => position % (bytes.length + 1));
  const sorted = [0, ...cutEnds.sort((a, b) => a - b), bytes.length];
  return sorted.slice(1).map((end, index) =>
    bytes.subarray(sorted[index], end)
  );
}

describe("FrameSplitter", () => {
  it("returns the encoded values for any split into chunks", () => {
    const value = fc.record({
      type: fc.string(),
      sequence: fc.nat(),
      supportedPools: fc.array(fc.string()),
      other: fc.option(fc.double({ noNaN: true }), { nil: null }),
    }, { noNullPrototype: true });
    fc.assert(
      fc.property(
        fc.array(value, { maxLength: 8 }),
        fc.array(fc.nat()),
        (values, cutPositions) => {
          const splitter = new FrameSplitter(MAX_BYTES);
          const bytes = Buffer.concat(values.map(encodeFrame));
          const got = cut(bytes, cutPositions).flatMap((c) =>
            splitAll(splitter, c)
          );
          splitter.finish();
          expect(got).toEqual(values);
        },
      ),
      { seed: SEED },
    );
  });

  it("returns frames or throws a PeerError for random bytes", () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ maxLength: 300 }),
        fc.boolean(),
        (random, hasLength) => {
          const body = Buffer.from(random);
          const header = Buffer.alloc(4);
          header.writeUInt32BE(body.length);
          const bytes = hasLength ? Buffer.concat([header, body]) : body;
          const splitter = new FrameSplitter(MAX_BYTES);
          try {
            for (const value of splitAll(splitter, bytes)) isPeerMessage(value);
            splitter.finish();
          } catch (error) {
            if (!(error instanceof PeerError)) throw error;
            expect(error.kind).toEqual("badFrame");
          }
        },
      ),
      { seed: SEED, numRuns: 2000 },
    );
  });

  it("doesn't keep an object for each chunk of a frame", async () => {
    const value = { type: "filler", text: "x".repeat(20_000) };
    const frame = encodeFrame(value);
    const splitter = new FrameSplitter(frame.length);
    const start = frame.subarray(0, frame.length - 1);
    const retained = await countRetainedChunks(start, 1, (chunk) => {
      expect(splitAll(splitter, chunk)).toEqual([]);
    });
    expect(retained).toBeLessThan(10);
    expect(splitAll(splitter, frame.subarray(-1))).toEqual([value]);
  });

  it("rejects a truncated stream", () => {
    const frame = encodeFrame({ type: "leaving", vmId: "vm-a" });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: frame.length - 1 }), (length) => {
        const splitter = new FrameSplitter(MAX_BYTES);
        expect(splitAll(splitter, frame.subarray(0, length))).toEqual([]);
        expect(() => {
          splitter.finish();
        }).toThrow(PeerError, "The stream ended inside a frame");
      }),
      { seed: SEED },
    );
  });

  it("rejects an oversized or empty frame by its header alone", () => {
    for (const payloadBytes of [0, MAX_BYTES + 1, 0xffffffff]) {
      const header = Buffer.alloc(4);
      header.writeUInt32BE(payloadBytes);
      const splitter = new FrameSplitter(MAX_BYTES);
      splitter.push(header);
      expect(() => splitter.next()).toThrow(PeerError);
    }
  });
});

describe("decodePayload", () => {
  it("rejects a length beyond the payload without allocating it", () => {
    const hugeArray = Buffer.from("9affffffff", "hex");
    const hugeText = Buffer.from("7affffffff", "hex");
    const nested = Buffer.alloc(4000, 0x81);
    for (const payload of [hugeArray, hugeText, nested]) {
      expect(() => decodePayload(payload)).toThrow(PeerError);
    }
  });
});

describe("isPeerMessage", () => {
  it("rejects a known type with a wrong or missing field", () => {
    expect(isPeerMessage({ type: "leaving", vmId: "vm-a" })).toEqual(true);
    expect(isPeerMessage({ type: "leaving", vmId: 7 })).toEqual(false);
    expect(isPeerMessage({ type: "leaving" })).toEqual(false);
    expect(isPeerMessage({ type: "constructor" })).toEqual(false);
    expect(isPeerMessage([])).toEqual(false);
    expect(isPeerMessage(null)).toEqual(false);
  });
});
