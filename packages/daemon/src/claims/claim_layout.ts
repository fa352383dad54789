/**
 * The number of partitions, which all daemons must agree on, and the epoch,
 * by which old claims are dropped.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type ClaimLayout, LAYOUT_KEY, parseLayout } from "./claim_objects.js";

/** An epoch lasts at least so long, by the clock of whoever ends it. */
export const EPOCH_MS = 3_600_000;
/** A segment is kept for so many epochs after its own. */
export const RETENTION_EPOCHS = 25;
const MAX_ATTEMPTS = 5;

export interface LayoutKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Used only if there is no layout yet. */
  readonly partitions: number;
}

/** Reads the layout, makes it the first time, and moves the epoch on. */
export class LayoutKeeper {
  readonly #options: LayoutKeeperOptions;
  #partitions: number | undefined;
  #observedEpoch = -1;
  #observedAtMs = 0;

  constructor(options: LayoutKeeperOptions) {
    this.#options = options;
  }

  /** Never changes once it is known. */
  async partitions(): Promise<number> {
    this.#partitions ??= (await this.read()).partitions;
    return this.#partitions;
  }

  /** The layout as the platform has it now. */
  async read(): Promise<ClaimLayout> {
    const { store, partitions, logger } = this.#options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const stored = await store.read(LAYOUT_KEY);
      if (stored !== undefined) {
        const layout = parseLayout(stored.value);
        if (layout.partitions !== partitions) {
          logger.warn("claimPartitionsDiffer", {
            inForce: layout.partitions,
            inSettings: partitions,
          });
        }
        return layout;
      }
      const first: ClaimLayout = { partitions, epoch: 0 };
      await ignoreLostAnswer(
        store.update(LAYOUT_KEY, first, { kind: "absent" }),
      );
    }
    throw new PlatformError("notDone", "The claim layout can't be made");
  }

  /**
   * Ends the epoch if this process has seen it last for `EPOCH_MS`. No wall
   * clock takes part, and a process that was paused only ends it later.
   */
  async advanceEpoch(): Promise<void> {
    const { store, clock } = this.#options;
    const nowMs = clock.nowMs();
    const stored = await store.read(LAYOUT_KEY);
    if (stored === undefined) return;
    const layout = parseLayout(stored.value);
    if (layout.epoch !== this.#observedEpoch) {
      this.#observedEpoch = layout.epoch;
      this.#observedAtMs = clock.nowMs();
      return;
    }
    if (nowMs - this.#observedAtMs < EPOCH_MS) return;
    await ignoreLostAnswer(
      store.update(LAYOUT_KEY, { ...layout, epoch: layout.epoch + 1 }, {
        kind: "version",
        version: stored.version,
      }),
    );
  }
}

/** What was done is seen by the next read. */
async function ignoreLostAnswer(update: Promise<unknown>): Promise<void> {
  try {
    await update;
  } catch (error) {
    if (error instanceof PlatformError && error.kind === "outcomeUnknown") {
      return;
    }
    throw error;
  }
}
