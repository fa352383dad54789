import { expect } from "earl";
import { describe, it } from "node:test";
import type { Logger } from "./logger.js";
import { MemoryMonitor, type MemoryUse } from "./memory_monitor.js";
import { Metrics } from "./metrics.js";

const MB = 1024 * 1024;

describe("MemoryMonitor", () => {
  it("reports critical memory once, before the process runs out of it", () => {
    let use: MemoryUse = {
      heapBytes: 50 * MB,
      maxHeapBytes: 200 * MB,
      externalBytes: 20 * MB,
    };
    const events: string[] = [];
    const changes: boolean[] = [];
    function record(event: string): void {
      events.push(event);
    }
    const logger: Logger = {
      error: record,
      warn: record,
      info: record,
      debug: record,
    };
    const monitor = new MemoryMonitor({
      metrics: new Metrics(),
      logger,
      maxBytes: () => 350 * MB,
      readUse: () => use,
      onCriticalChange: (isCritical) => {
        changes.push(isCritical);
      },
    });
    monitor.sample();
    use = { ...use, heapBytes: 171 * MB };
    monitor.sample();
    monitor.sample();
    use = { ...use, heapBytes: 160 * MB };
    monitor.sample();
    use = { ...use, heapBytes: 100 * MB };
    monitor.sample();
    use = { ...use, externalBytes: 200 * MB };
    monitor.sample();
    expect(events).toEqual([
      "memoryCritical",
      "memoryNormal",
      "memoryCritical",
    ]);
    expect(changes).toEqual([true, false, true]);
  });
});
