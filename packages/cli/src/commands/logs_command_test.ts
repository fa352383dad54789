import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EXIT_CODES, type ExitCode } from "../cli_error.js";
import { main } from "../main.js";

const OWNER_LOG = [
  "time=2026-12-04T02:00:00.000Z level=info event=configurationAdopted vm=a version=16 revision=9",
  "time=2026-12-04T02:01:00.000Z level=info event=requestEnded vm=a request=other outcome=own",
  'time=2026-12-04T02:01:01.500Z level=info event=requestEnded vm=a request=r1 outcome=own reason=overloaded detail="Too much, \\"now\\""',
  "no log line",
].join("\n");
const COORDINATOR_LOG = [
  // The prefix is added by a log collector.
  "12.5 b time=2026-12-04T02:01:01.000Z level=info event=stageCallFailed vm=b requests=r0,r1 outcome=unknown",
  "12.6 b time=2026-12-04T02:01:01.100Z level=warn event=platformLost vm=b objects=config/",
  "13.0 b time=2026-12-04T02:01:01.490Z level=info event=stageGraphRefused vm=b request=r1 jobs=39",
].join("\n");

interface Outcome {
  readonly code: ExitCode;
  readonly printed: string;
  readonly messages: string;
}

describe("logs trace", () => {
  let folder: string;
  let files: string[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), "sassafrasstage-logs-"));
    files = [join(folder, "a.log"), join(folder, "b.log")];
    writeFileSync(join(folder, "a.log"), OWNER_LOG);
    writeFileSync(join(folder, "b.log"), COORDINATOR_LOG);
  });

  after(() => {
    rmSync(folder, { recursive: true });
  });

  async function trace(...args: string[]): Promise<Outcome> {
    let printed = "";
    let messages = "";
    const code = await main(
      ["node", "sassafrasstage", "logs", "trace", ...args],
      {
        environment: {},
        print: (text) => printed += text,
        printMessage: (message) => messages += message,
        showProgress: () => undefined,
      },
    );
    return { code, printed, messages };
  }

  it("merges the lines that contain the request id, from all daemons", async () => {
    const { code, printed } = await trace("r1", ...files);
    expect(code).toEqual(EXIT_CODES.done);
    const rows = printed.trimEnd().split("\n").slice(1)
      .map((row) => row.split(/ {2,}/).slice(0, 3).join(" "));
    expect(rows).toEqual([
      "0 b stageCallFailed",
      "490 b stageGraphRefused",
      "500 a requestEnded",
    ]);
  });

  it("adds events that changed the daemons' view of the fleet", async () => {
    const { printed } = await trace("r1", ...files, "--context", "--json");
    const events = printed.trimEnd().split("\n")
      .map((line) => (JSON.parse(line) as { event: string }).event);
    expect(events).toEqual([
      "configurationAdopted",
      "stageCallFailed",
      "platformLost",
      "stageGraphRefused",
      "requestEnded",
    ]);
  });

  it("parses quoted values with spaces and escaped quotes", async () => {
    const { printed } = await trace("r1", ...files, "--json");
    const last = JSON.parse(printed.trimEnd().split("\n").at(-1) ?? "") as {
      detail: string;
    };
    expect(last.detail).toEqual('Too much, "now"');
  });

  it("fails if no line contains the request id or a file can't be read", async () => {
    const unknown = await trace("r9", ...files);
    expect(unknown.code).toEqual(EXIT_CODES.refused);
    expect(unknown.messages.includes("r9")).toEqual(true);
    const unreadable = await trace("r1", join(folder, "none.log"));
    expect(unreadable.code).toEqual(EXIT_CODES.badUsage);
  });
});
