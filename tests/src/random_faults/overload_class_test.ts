import type { ServerEventKind } from "@sassafrasstage/stand-ins/backend_servers/server_event_log";
import { expect } from "earl";
import { describe, it } from "node:test";
import { classifyOverload } from "./overload_class.js";

const AT_MS = 10_000;

function classify(...events: [ServerEventKind, number][]): string {
  return classifyOverload(
    events.map(([kind, beforeMs]) => ({
      kind,
      atMs: AT_MS - beforeMs,
      inFlight: 1,
    })),
    AT_MS,
  );
}

describe("classifyOverload", () => {
  it("allows an overload before any sign", () => {
    expect(classify(["completed", 900], ["turnedCold", 500], ["admitted", 400]))
      .toEqual("allowed");
  });

  it("allows one that nobody could react to", () => {
    expect(classify(["turnedCold", 500], ["refused", 100])).toEqual("allowed");
  });

  it("allows none after a refusal", () => {
    expect(classify(["turnedCold", 500], ["completed", 450], ["refused", 400]))
      .toEqual("fault");
  });

  it("allows none after another overload", () => {
    expect(classify(["turnedCold", 500], ["overloaded", 100])).toEqual("fault");
  });

  it("allows none at a server that was cold from its start", () => {
    expect(classify(["admitted", 400])).toEqual("fault");
  });

  it("tells slow answers apart", () => {
    expect(classify(["turnedCold", 900], ["completed", 400]))
      .toEqual("slowAnswersOnly");
  });
});
