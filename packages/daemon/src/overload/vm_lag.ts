/**
 * The lag of this VM as a resource: how late its event loop runs, and how much
 * of its processor time is in use.
 *
 * Load pattern: on a VM with a quarter of a core, requests need more processor
 * time than there is, and the event loop falls behind.
 *
 * @module
 */

/** A lag that was measured longer ago isn't known any more. */
const MAX_SAMPLE_AGE_MS = 2000;
/** Weight of the newest sample in the moving average of the processor use. */
const USE_SMOOTHING = 0.3;

/**
 * An overdue sample counts as lag if the process has used this part of its
 * processor time since the last one. Otherwise the VM was paused as a whole.
 */
const MIN_BUSY_SHARE = 0.6;

export interface VmLagOptions {
  /** Processor capacity of this VM; 0 if it isn't known. */
  readonly cores: number;
  readonly sampleIntervalMs: number;
  /** Processor time used by the process so far; undefined if not known. */
  readonly usedMs: () => number | undefined;
}

export interface LagSample {
  readonly nowMs: number;
  /** How late the event loop ran. */
  readonly delayMs: number;
  readonly intervalMs: number;
  /** Processor time used in the interval; undefined if it can't be measured. */
  readonly usedMs: number | undefined;
}

/** One per process. */
export class VmLag {
  readonly #options: VmLagOptions;
  readonly #cores: number;
  #usedAtSampleMs: number | undefined;
  #delaysMs: readonly [previous: number, latest: number] = [0, 0];
  #sampledAtMs = -Infinity;
  #useShare = 0;

  constructor(options: VmLagOptions) {
    this.#options = options;
    this.#cores = options.cores > 0 ? options.cores : 1;
  }

  /** Processor time that becomes available per millisecond. */
  get capacity(): number {
    return this.#cores;
  }

  /** Part of the processor time that is in use, smoothed. */
  get useShare(): number {
    return this.#useShare;
  }

  record(sample: LagSample): void {
    const { nowMs, delayMs, intervalMs, usedMs } = sample;
    const isRecent = nowMs - this.#sampledAtMs <= MAX_SAMPLE_AGE_MS;
    this.#delaysMs = [isRecent ? this.#delaysMs[1] : 0, delayMs];
    this.#sampledAtMs = nowMs;
    this.#usedAtSampleMs = this.#options.usedMs();
    if (usedMs === undefined || intervalMs <= 0) return;
    const share = usedMs / (intervalMs * this.#cores);
    this.#useShare += (share - this.#useShare) * USE_SMOOTHING;
  }

  /**
   * How late the event loop runs. A single late sample isn't a lag, as the VM
   * may have been paused as a whole; 0 if nothing was measured.
   */
  lagMs(nowMs: number): number {
    const measuredMs = nowMs - this.#sampledAtMs > MAX_SAMPLE_AGE_MS
      ? 0
      : Math.min(...this.#delaysMs);
    return Math.max(measuredMs, this.#overdueMs(nowMs));
  }

  /** A long turn of the event loop delays the next sample as well. */
  #overdueMs(nowMs: number): number {
    const { sampleIntervalMs } = this.#options;
    const elapsedMs = nowMs - this.#sampledAtMs;
    if (!Number.isFinite(elapsedMs) || elapsedMs <= sampleIntervalMs) return 0;
    const usedMs = this.#options.usedMs();
    if (usedMs === undefined || this.#usedAtSampleMs === undefined) return 0;
    const busyShare = (usedMs - this.#usedAtSampleMs) /
      (elapsedMs * this.#cores);
    return busyShare < MIN_BUSY_SHARE ? 0 : elapsedMs - sampleIntervalMs;
  }

  /** Time that work of the given processor time takes, without a queue. */
  processingMs(workMs: number): number {
    return workMs / this.#cores;
  }
}
