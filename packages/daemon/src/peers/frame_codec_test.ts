import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { decodePayload } from "./frame_codec.js";
import { isPeerMessage } from "./message_check.js";
import { PeerError } from "./peer_error.js";

const SEED = 48;
const RUNS = 300;
/** What a connection may send before it has proved itself. */
const MAX_BYTES = 4096;
const MAX_GROWTH_BYTES = 20_000_000;
const MAX_DECODE_MS = 100;

/** The head of a collection or string that states a count of four bytes. */
const HEAD = fc.tuple(
  fc.constantFrom(0x5a, 0x7a, 0x9a, 0xba, 0xda),
  fc.integer({ min: 0, max: 0xffffffff }),
).map(([kind, count]) => {
  const head = Buffer.alloc(5, kind);
  head.writeUInt32BE(count, 1);
  return head;
});

// Guards against memory in proportion to a count that a frame states.
describe("decodePayload", () => {
  it("allocates nothing in proportion to stated counts, however nested", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.oneof(
            HEAD,
            fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
          ),
          { maxLength: 400 },
        ),
        (parts) => {
          const payload = Buffer.concat(parts).subarray(0, MAX_BYTES);
          const heapBytes = process.memoryUsage().heapUsed;
          const startedAtMs = performance.now();
          try {
            isPeerMessage(decodePayload(payload));
          } catch (error) {
            if (!(error instanceof PeerError)) throw error;
          }
          expect(performance.now() - startedAtMs < MAX_DECODE_MS)
            .toEqual(true);
          expect(process.memoryUsage().heapUsed - heapBytes < MAX_GROWTH_BYTES)
            .toEqual(true);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
