import { expect } from "earl";
import { describe, it } from "node:test";
import { LogSink } from "./log_sink.js";

class SlowStream {
  text = "";
  writableLength = 0;

  write(text: string): void {
    this.text += text;
  }
}

function makeSink(stream: SlowStream, clock: { nowMs: number }): LogSink {
  return new LogSink({
    stream,
    nowMs: () => clock.nowMs,
    maxLinesPerSecond: 3,
    formatDroppedNotice: (count) => `dropped ${count}`,
  });
}

describe("LogSink", () => {
  it("writes the lines of one event loop iteration together", () => {
    const stream = new SlowStream();
    const sink = makeSink(stream, { nowMs: 0 });
    sink.write("a");
    sink.write("b");
    expect(stream.text).toEqual("");
    sink.flush();
    expect(stream.text).toEqual("a\nb\n");
  });

  it("drops lines beyond the limit per second and reports their number", () => {
    const stream = new SlowStream();
    const clock = { nowMs: 0 };
    const sink = makeSink(stream, clock);
    for (const line of ["a", "b", "c", "d", "e"]) sink.write(line);
    expect(sink.droppedCount).toEqual(2);
    clock.nowMs = 1000;
    sink.write("f");
    sink.flush();
    expect(stream.text).toEqual("a\nb\nc\ndropped 2\nf\n");
  });

  it("drops lines while the buffer of a stalled stream is full", () => {
    const stream = new SlowStream();
    stream.writableLength = 1_000_000;
    const sink = makeSink(stream, { nowMs: 0 });
    sink.write("a");
    sink.flush();
    expect(stream.text).toEqual("");
    expect(sink.droppedCount).toEqual(1);
  });
});
