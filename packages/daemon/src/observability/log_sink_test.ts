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
    linesPerSecond: 3,
    formatDropped: (count) => `dropped ${count}`,
  });
}

describe("LogSink", () => {
  it("writes the lines of one turn at once", () => {
    const stream = new SlowStream();
    const sink = makeSink(stream, { nowMs: 0 });
    sink.write("a");
    sink.write("b");
    expect(stream.text).toEqual("");
    sink.flush();
    expect(stream.text).toEqual("a\nb\n");
  });

  it("drops lines beyond the bound of a second, and tells how many", () => {
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

  it("drops lines while nobody reads", () => {
    const stream = new SlowStream();
    stream.writableLength = 1_000_000;
    const sink = makeSink(stream, { nowMs: 0 });
    sink.write("a");
    sink.flush();
    expect(stream.text).toEqual("");
    expect(sink.droppedCount).toEqual(1);
  });
});
