import { expect } from "earl";
import { describe, it } from "node:test";
import { makeReport } from "../testing/stage_samples.js";
import { CallSilence } from "./call_silence.js";

const SILENCE_LIMIT_MS = 600;
const REPORT_INTERVAL_MS = 1000;

function makeServer(id: string) {
  return { ...makeReport(id), coldUntilMs: 0 };
}

describe("CallSilence", () => {
  it("reports the server of the oldest call of a silent service", () => {
    const silence = new CallSilence();
    silence.recordStart(makeServer("a"), 0);
    silence.recordStart(makeServer("b"), 10);
    expect(silence.takeSilentServers(SILENCE_LIMIT_MS - 1)).toEqual([]);
    expect(silence.takeSilentServers(SILENCE_LIMIT_MS).map(({ id }) => id))
      .toEqual([makeServer("a").id]);
  });

  it("doesn't report a service of which another server sends data", () => {
    const silence = new CallSilence();
    silence.recordStart(makeServer("a"), 0);
    silence.recordStart(makeServer("b"), 0).recordData(SILENCE_LIMIT_MS - 1);
    expect(silence.takeSilentServers(SILENCE_LIMIT_MS)).toEqual([]);
  });

  it("doesn't report a service without open calls", () => {
    const silence = new CallSilence();
    silence.recordStart(makeServer("a"), 0).end();
    expect(silence.takeSilentServers(SILENCE_LIMIT_MS)).toEqual([]);
  });

  it("reports a service that stays silent at intervals", () => {
    const silence = new CallSilence();
    silence.recordStart(makeServer("a"), 0);
    let reports = 0;
    const endMs = SILENCE_LIMIT_MS + 2 * REPORT_INTERVAL_MS;
    for (let nowMs = 0; nowMs <= endMs; nowMs += 100) {
      reports += silence.takeSilentServers(nowMs).length;
    }
    expect(reports).toEqual(3);
  });
});
