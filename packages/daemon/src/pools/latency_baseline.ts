/**
 * The usual latency of a service's warm backend servers, used to detect cold
 * starts.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import type { Service } from "@sassafrasstage/protocol/register";

const MIN_SAMPLES = 10;
const SMOOTHING = 0.05;
const COLD_START_FACTOR = 2;
/** In multiples of the mean deviation, above the baseline. */
const COLD_START_DEVIATIONS = 4;
/** A latency that exceeds the baseline by less is never taken for a cold start. */
const MIN_COLD_START_EXCESS_MS = 20;
const RAISED_FACTOR = 1.3;
const HIGH_FACTOR = 1.6;
const MIN_HIGH_EXCESS_MS = 20;

export interface LatencyBaseline {
  readonly meanMs: number;
  /** Mean absolute deviation of the samples from the mean. */
  readonly deviationMs: number;
  /** Number of samples taken so far. */
  readonly samples: number;
}

/**
 * How a latency compares with the baseline, in rising order; unknown with too
 * few samples.
 */
export type LatencyGrade =
  | "unknown"
  | "usual"
  | "raised"
  | "high"
  | "coldStart";

/**
 * The latency that indicates whether the server was cold: the time to the first
 * token for a model engine, the whole duration for a plain call.
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
 * Compares a latency with the baseline.
 *
 * @example
 * ```ts
 * gradeLatency(900, { meanMs: 80, deviationMs: 9, samples: 50 }); // "coldStart"
 * ```
 *
 * @param otherServersMs the current latency of the pool's other servers; a rise
 *   that all servers show comes from load or the network, not from a cold start
 */
export function gradeLatency(
  sampleMs: number,
  baseline: LatencyBaseline | undefined,
  otherServersMs = 0,
): LatencyGrade {
  if (baseline === undefined || baseline.samples < MIN_SAMPLES) {
    return "unknown";
  }
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

/** The baselines of all services, from this daemon's own samples. */
export class LatencyBaselines {
  readonly #byService = new Map<ServiceName, LatencyBaseline>();

  get(service: ServiceName): LatencyBaseline | undefined {
    return this.#byService.get(service);
  }

  /** Adds the latency of a call that a warm server completed. */
  addSample(service: ServiceName, sampleMs: number): void {
    const known = this.#byService.get(service) ??
      { meanMs: sampleMs, deviationMs: 0, samples: 0 };
    const samples = known.samples + 1;
    const weight = Math.max(SMOOTHING, 1 / samples);
    const meanMs = known.meanMs + weight * (sampleMs - known.meanMs);
    const distanceMs = Math.abs(sampleMs - meanMs);
    const deviationMs = known.deviationMs +
      weight * (distanceMs - known.deviationMs);
    this.#byService.set(service, { meanMs, deviationMs, samples });
  }
}
