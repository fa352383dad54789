/**
 * The faults and the record of the platform stand-in.
 *
 * @module
 */

export interface PlatformFaults {
  /** The port refuses connections, and open connections are closed. */
  readonly isDown: boolean;
  /** Delay of each call before it is processed. */
  readonly slowMs: number;
  /** Share of writes that take effect but are not answered. */
  readonly lostAnswerRatio: number;
  /** Number of upcoming writes that take effect but are not answered. */
  readonly lostAnswers: number;
  /** Watches are closed without an answer. */
  readonly isWatchCut: boolean;
  /** Writes per second above which 429 is answered; 0 means no limit. */
  readonly maxWritesPerSecond: number;
  /** As `maxWritesPerSecond`, for all other calls. */
  readonly maxReadsPerSecond: number;
  /** Delay until a change of the VM list becomes visible. */
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

/** Counts of the platform stand-in, served at `GET /control/record`. */
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
