/**
 * HTTP routes for probes and metrics: `/healthz`, `/readyz` and `/metrics`.
 *
 * @module
 */

import type { Readiness } from "@sassafrasstage/protocol/status";
import type restana from "restana";
import type { LatencyRecords } from "./latency_records.js";
import type { Metrics } from "./metrics.js";

export interface ProbeRoutesOptions {
  readonly readiness: () => Readiness;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
}

/**
 * Adds the probe and metrics routes to a server. `/readyz` responds with status
 * 200 when the daemon is ready and with 503 otherwise.
 *
 * @example
 * ```ts
 * addProbeRoutes(service, { readiness, metrics, latencies });
 * ```
 */
export function addProbeRoutes(
  service: restana.Service<restana.Protocol.HTTP>,
  options: ProbeRoutesOptions,
): void {
  service.get("/healthz", (_request, response) => {
    response.send({ status: "running" });
  });
  service.get("/readyz", (_request, response) => {
    const readiness = options.readiness();
    response.send(readiness, readiness.kind === "ready" ? 200 : 503);
  });
  service.get("/metrics", async (_request, response) => {
    const registryText = await options.metrics.registry.metrics();
    response.setHeader("content-type", options.metrics.registry.contentType);
    response.end(`${registryText}\n${options.latencies.format()}`);
  });
}
