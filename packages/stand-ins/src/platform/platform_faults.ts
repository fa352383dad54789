/**
 * The faults of the platform stand-in and what it counts.
 *
 * @module
 */

export interface PlatformFaults {
  /** The port refuses connections; those open are closed. */
  readonly isDown: boolean;
  /** Added to each call before anything is done. */
  readonly slowMs: number;
  /** Share of writes that take effect and whose answer is then lost. */
  readonly lostAnswerRatio: number;
  /** So many of the next writes take effect without an answer. */
  readonly lostAnswers: number;
  /** Watches are closed without an answer. */
  readonly isWatchCut: boolean;
  /** Calls a second above which 429 is answered; 0 sets no limit. */
  readonly maxWritesPerSecond: number;
  readonly maxReadsPerSecond: number;
  /** Age of the VM list. */
  readonly vmListLagMs: number;
}

export const NO_PLATFORM_FAULTS: PlatformFaults = {
  isDown: false,
  slowMs: 0,
  lostAnswerRatio: 0,
  lostAnswers: 0,
  isWatchCut: false,
  maxWritesPerSecond: 0,
  maxReadsPerSecond: 0,
  vmListLagMs: 0,
};

export const PLATFORM_CALL_KINDS = [
  "read",
  "list",
  "update",
  "remove",
  "watch",
  "vms",
] as const;
export type PlatformCallKind = (typeof PLATFORM_CALL_KINDS)[number];

/** What the platform stand-in saw; served at `GET /control/record`. */
export interface PlatformRecord {
  readonly calls: Readonly<Record<PlatformCallKind, number>>;
  readonly conflicts: number;
  readonly rateLimited: number;
  readonly answersLost: number;
  readonly objectCount: number;
  readonly largestValueBytes: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}
