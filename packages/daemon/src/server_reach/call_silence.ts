/**
 * Finds services whose servers have sent no data while calls are open.
 *
 * Load pattern: a cut leaves connections open without any data. Streams of one
 * server may pause while it reads a long prompt, so the service as a whole has to
 * be silent.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";

/** Time without data after which a service counts as silent. */
const SILENCE_LIMIT_MS = 600;
/** Interval at which the server of a silent service is reported again. */
const REPORT_INTERVAL_MS = 1000;

export interface OpenCall {
  recordData(nowMs: number): void;
  end(): void;
}

interface CallRecord {
  readonly server: RegisteredServer;
  readonly startedAtMs: number;
}

interface ServiceRecord {
  readonly calls: Set<CallRecord>;
  lastDataAtMs: number;
  reportedAtMs: number;
}

export class CallSilence {
  readonly #services = new Map<ServiceName, ServiceRecord>();

  recordStart(server: RegisteredServer, nowMs: number): OpenCall {
    const record = this.#serviceRecord(server.service);
    const call = { server, startedAtMs: nowMs };
    record.calls.add(call);
    return {
      recordData: (dataAtMs) => {
        record.lastDataAtMs = dataAtMs;
      },
      end: () => {
        record.calls.delete(call);
      },
    };
  }

  /** Returns the server of the oldest call of each service that turned silent. */
  takeSilentServers(nowMs: number): RegisteredServer[] {
    return [...this.#services.values()].flatMap((record) => {
      // Calls are kept in the order in which they were started.
      const [oldest] = record.calls;
      if (oldest === undefined) return [];
      const sinceMs = Math.max(oldest.startedAtMs, record.lastDataAtMs);
      if (nowMs - sinceMs < SILENCE_LIMIT_MS) return [];
      if (nowMs - record.reportedAtMs < REPORT_INTERVAL_MS) return [];
      record.reportedAtMs = nowMs;
      return [oldest.server];
    });
  }

  #serviceRecord(service: ServiceName): ServiceRecord {
    let record = this.#services.get(service);
    if (record === undefined) {
      record = {
        calls: new Set(),
        lastDataAtMs: -Infinity,
        reportedAtMs: -Infinity,
      };
      this.#services.set(service, record);
    }
    return record;
  }
}
