import { expect } from "earl";
import { describe, it } from "node:test";
import { VmLag } from "./vm_lag.js";

const INTERVAL_MS = 250;

class MeasuredVm {
  usedMs: number | undefined = 0;
  readonly lag = new VmLag({
    cores: 0.25,
    sampleIntervalMs: INTERVAL_MS,
    usedMs: () => this.usedMs,
  });

  sample(nowMs: number, delayMs: number): void {
    this.lag.record({
      nowMs,
      delayMs,
      intervalMs: INTERVAL_MS + delayMs,
      usedMs: this.usedMs,
    });
  }
}

describe("VmLag", () => {
  it("doesn't take a pause of the whole VM for a lag", () => {
    const vm = new MeasuredVm();
    vm.sample(1000, 0);
    // No processor time was used before the first sample after the pause.
    expect(vm.lag.lagMs(4000)).toEqual(0);
    vm.sample(4000, 2750);
    expect(vm.lag.lagMs(4000)).toEqual(0);
  });

  it("notices a lag that lasts, and its end", () => {
    const vm = new MeasuredVm();
    vm.sample(1000, 300);
    vm.sample(1500, 250);
    expect(vm.lag.lagMs(1500)).toEqual(250);
    vm.sample(1750, 0);
    expect(vm.lag.lagMs(1750)).toEqual(0);
  });

  it("notices a long turn of the event loop before the next sample", () => {
    const vm = new MeasuredVm();
    vm.sample(1000, 0);
    vm.usedMs = 200;
    expect(vm.lag.lagMs(1800)).toEqual(550);
  });

  it("takes a lag that can't be measured to be zero", () => {
    const vm = new MeasuredVm();
    expect(vm.lag.lagMs(1000)).toEqual(0);
    vm.usedMs = undefined;
    vm.sample(1000, 500);
    expect(vm.lag.lagMs(1800)).toEqual(0);
    vm.sample(1500, 500);
    expect(vm.lag.lagMs(10_000)).toEqual(0);
  });
});
