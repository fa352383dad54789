import { expect } from "earl";
import { describe, it } from "node:test";
import { EventLoopMonitor } from "./event_loop_monitor.js";
import type { LogFields } from "./log_fields.js";
import type { Logger } from "./logger.js";
import { Metrics } from "./metrics.js";

class RecordingLogger implements Logger {
  readonly warnings: [event: string, fields: LogFields | undefined][] = [];
  error(): void {}
  info(): void {}
  debug(): void {}
  warn(event: string, fields?: LogFields): void {
    this.warnings.push([event, fields]);
  }
}

describe("EventLoopMonitor", () => {
  it("reports how late the event loop ran, once per sample", async () => {
    let nowMs = 1000;
    const logger = new RecordingLogger();
    const metrics = new Metrics();
    const monitor = new EventLoopMonitor({
      clock: { nowMs: () => nowMs },
      metrics,
      logger,
    });
    nowMs += 260;
    monitor.sample();
    expect(logger.warnings).toEqual([]);
    nowMs += 1250;
    monitor.sample();
    expect(logger.warnings).toEqual([["eventLoopDelayed", { delayMs: 1000 }]]);
    nowMs += 250;
    monitor.sample();
    expect(logger.warnings.length).toEqual(1);
    const gauge = 'sassafrasstage_value{name="eventLoopDelayMs"}';
    expect((await metrics.registry.metrics()).includes(`${gauge} 1000`))
      .toEqual(true);
    expect((await metrics.registry.metrics()).includes(`${gauge} 0`))
      .toEqual(true);
  });
});
