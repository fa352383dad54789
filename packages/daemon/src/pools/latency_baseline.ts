/**
 * The usual latency of a service's warm backend servers, to tell a slow start
 * from the ordinary.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import type { Service } from "@sassafrasstage/protocol/register";

const MIN_SAMPLES = 10;
const SMOOTHING = 0.05;
const COLD_START_FACTOR = 2;
/** In mean deviations above the baseline. */
const COLD_START_DEVIATIONS = 4;
/** Less than this above the baseline is never taken for a cold start. */
const MIN_COLD_START_EXCESS_MS = 20;
const RAISED_FACTOR = 1.3;
const HIGH_FACTOR = 1.6;
const MIN_HIGH_EXCESS_MS = 20;

export interface LatencyBaseline {
  readonly meanMs: number;
  /** The mean distance of the samples from the mean. */
  readonly deviationMs: number;
  readonly sampleCount: number;
}

/** How a latency compares with the baseline. */
export type LatencyGrade = "usual" | "raised" | "high" | "coldStart";

/**
 * The part of a call that shows the server's state: the first token of an
 * engine, the whole of a plain call.
 *
 * @example
 * ```ts
 * latencySample(service, release);
 * ```
 */
export function latencySample(
  service: Service,
  release: PermitRelease,
): number | undefined {
  switch (service.kind) {
    case "modelEngine":
      return release.firstTokenMs;
    case "plain":
      return release.durationMs;
  }
}

/**
 * Compares a latency with the baseline; with too few samples all are usual.
 *
 * @example
 * ```ts
 * gradeLatency(900, { meanMs: 80, deviationMs: 9, samples: 50 }); // "coldStart"
 * ```
 *
 * @param otherServersMs the present latency of the pool's other servers: what all
 *   servers show is load or network, not a cold start
 */
export function gradeLatency(
  sampleMs: number,
  baseline: LatencyBaseline | undefined,
  otherServersMs = 0,
): LatencyGrade {
  if (baseline === undefined || baseline.sampleCount < MIN_SAMPLES) return "usual";
  const { deviationMs } = baseline;
  const meanMs = Math.max(baseline.meanMs, otherServersMs);
  const coldStartThresholdMs = Math.max(
    meanMs * COLD_START_FACTOR,
    meanMs + MIN_COLD_START_EXCESS_MS,
    meanMs + COLD_START_DEVIATIONS * deviationMs,
  );
  if (sampleMs > coldStartThresholdMs) return "coldStart";
  if (
    sampleMs > Math.max(meanMs * HIGH_FACTOR, meanMs + MIN_HIGH_EXCESS_MS)
  ) {
    return "high";
  }
  return sampleMs > meanMs * RAISED_FACTOR ? "raised" : "usual";
}

/** The baselines of all services, as this daemon has seen them. */
export class LatencyBaselines {
  readonly #byService = new Map<ServiceName, LatencyBaseline>();

  of(service: ServiceName): LatencyBaseline | undefined {
    return this.#byService.get(service);
  }

  /** Takes the latency of a warm server's completed call. */
  note(service: ServiceName, sampleMs: number): void {
    const known = this.#byService.get(service) ??
      { meanMs: sampleMs, deviationMs: 0, sampleCount: 0 };
    const samples = known.sampleCount + 1;
    const weight = Math.max(SMOOTHING, 1 / samples);
    const meanMs = known.meanMs + weight * (sampleMs - known.meanMs);
    const distanceMs = Math.abs(sampleMs - meanMs);
    const deviationMs = known.deviationMs +
      weight * (distanceMs - known.deviationMs);
    this.#byService.set(service, { meanMs, deviationMs, sampleCount: samples });
  }
}
