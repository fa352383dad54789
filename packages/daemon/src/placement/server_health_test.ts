import { expect } from "earl";
import { describe, it } from "node:test";
import { ServerHealth } from "./server_health.js";

describe("ServerHealth", () => {
  it("takes a server for silent until any of its calls receives data", () => {
    const health = new ServerHealth();
    health.recordSilence(1000, 2500);
    expect(health.isSilent(2600)).toEqual(true);
    health.recordReceived(2700);
    expect(health.isSilent(2700)).toEqual(false);
  });

  it("takes a server for silent for some seconds only", () => {
    const health = new ServerHealth();
    health.recordSilence(1000, 2500);
    expect(health.isSilent(5000)).toEqual(true);
    expect(health.isSilent(6000)).toEqual(false);
  });

  it("doesn't take a server for silent while other calls receive data", () => {
    const health = new ServerHealth();
    health.recordReceived(2000);
    health.recordSilence(1000, 2500);
    expect(health.isSilent(2500)).toEqual(false);
  });

  it("doesn't count a silence as a failure", () => {
    const health = new ServerHealth();
    health.recordSilence(1000, 2500);
    expect(health.failureScore(2500)).toEqual(0);
  });
});
