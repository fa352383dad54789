import { expect } from "earl";
import { describe, it } from "node:test";
import { formatLogLine } from "./format_log_line.js";

describe("formatLogLine", () => {
  it("logs ids of the maximum length whole", () => {
    const request = "r".repeat(1024);
    expect(formatLogLine("event=a", { request, code: undefined, ms: 3 }))
      .toEqual(`event=a request=${request} ms=3`);
  });

  it("doesn't log kilobytes of a header that a client sent", () => {
    const line = formatLogLine("event=placed", {
      after: "9".repeat(60_000),
      server: "s1",
    });
    expect(line).toEqual(
      `event=placed after=${"9".repeat(1024)}...+58976 server=s1`,
    );
  });

  it("keeps a shortened value with spaces in its quotes", () => {
    const line = formatLogLine("event=a", { error: '" '.repeat(1024), ms: 3 });
    expect(line.endsWith('...+1024" ms=3')).toEqual(true);
    expect(line.includes("\n")).toEqual(false);
  });
});
