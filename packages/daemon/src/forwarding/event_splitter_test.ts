import { expect } from "earl";
import fc from "fast-check";
import { describe, it, mock } from "node:test";
import { countRetainedChunks } from "../testing/count_retained.js";
import { GrowingBuffer } from "../memory/growing_buffer.js";
import { EventSplitter } from "./event_splitter.js";

const STREAM = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\nid: 3\n\n";

describe("EventSplitter", () => {
  it("emits every byte in complete events for any chunk sizes", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1 }),
      (sizes) => {
        const splitter = new EventSplitter(new GrowingBuffer());
        let emitted = "";
        let lastId: string | undefined;
        let offset = 0;
        for (let index = 0; offset < STREAM.length; index++) {
          const size = sizes[index % sizes.length] ?? 1;
          const chunk = Buffer.from(STREAM.slice(offset, offset + size));
          offset += size;
          const complete = splitter.push(chunk);
          emitted += complete.bytes.toString();
          lastId = complete.lastId ?? lastId;
          if (emitted !== "") expect(emitted.endsWith("\n\n")).toEqual(true);
        }
        expect(emitted).toEqual(STREAM);
        expect(lastId).toEqual("3");
      },
    ));
  });

  it("buffers an incomplete event", () => {
    const splitter = new EventSplitter(new GrowingBuffer());
    const complete = splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\nda"));
    expect(complete.bytes.toString()).toEqual("id: 7\ndata: a\n\n");
    expect(complete.lastId).toEqual("7");
    expect(splitter.partialEventBytes > 0).toEqual(true);
  });

  it("doesn't keep an object for each chunk, nor copy all bytes for each", async () => {
    const splitter = new EventSplitter(new GrowingBuffer());
    const event = Buffer.from(`data: ${"x".repeat(100_000)}`);
    const concat = mock.method(Buffer, "concat");
    const retained = await countRetainedChunks(event, 4, (chunk) => {
      splitter.push(chunk);
    });
    expect(concat.mock.callCount()).toEqual(0);
    concat.mock.restore();
    expect(retained).toBeLessThan(10);
    const { bytes } = splitter.push(Buffer.from("\n\n"));
    expect(bytes.toString()).toEqual(`${event.toString()}\n\n`);
    expect(splitter.partialEventBytes).toEqual(0);
  });

  it("finds the end of an event that is cut anywhere", () => {
    const stream = "data: a\r\n\r\ndata: b\n\ndata: c\r\n\r\n";
    for (let at = 1; at < stream.length; at++) {
      for (let next = at; next <= stream.length; next++) {
        const splitter = new EventSplitter(new GrowingBuffer());
        const parts = [
          stream.slice(0, at),
          stream.slice(at, next),
          stream.slice(next),
        ];
        const emitted = parts.map((part) =>
          splitter.push(Buffer.from(part)).bytes.toString()
        );
        expect(emitted.join("")).toEqual(stream);
        expect(splitter.partialEventBytes).toEqual(0);
      }
    }
  });
});
