/**
 * The interface of the store through which all VMs learn of blocked parts.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";

/** A prompt part with which requests are refused. */
export interface PartBlock {
  readonly part: SuspectId;
  /** Crashes that are attributed to the part. */
  readonly crashes: number;
  /** Probes under which a server has crashed since the part was blocked. */
  readonly failedProbes: number;
  /** Time since the last of the crashes, when the block was published. */
  readonly lastCrashAgeMs: number;
}

/**
 * Blocks known to the whole fleet, also to VMs without connections to others
 * and to restarted ones. The implementation handles errors and retries.
 */
export interface PartBlocks {
  /** Adds a block, or replaces the one of the same part. */
  publish(block: PartBlock): void;
  /** Removes the part's block, if there is one. */
  withdraw(part: SuspectId): void;
  /** The listener gets all present blocks: at first, and on each change. */
  onChanged(listener: (blocks: readonly PartBlock[]) => void): void;
}
