/**
 * The claim layout: the number of partitions, on which all daemons must agree,
 * and the epoch, which determines when old claims are deleted.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type ClaimLayout, LAYOUT_KEY, parseLayout } from "./claim_objects.js";

/** Minimum duration of an epoch, by the clock of the daemon that ends it. */
export const EPOCH_MS = 3_600_000;
/** Number of epochs after its own for which a segment is kept. */
export const RETENTION_EPOCHS = 25;
const MAX_ATTEMPTS = 5;

export interface LayoutStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of partitions if this daemon creates the layout. */
  readonly partitions: number;
}

/** Reads the layout, creates it if it is missing, and advances the epoch. */
export class LayoutStore {
  readonly #options: LayoutStoreOptions;
  #partitions: number | undefined;
  #observedEpoch = -1;
  #observedAtMs = 0;

  constructor(options: LayoutStoreOptions) {
    this.#options = options;
  }

  /** Cached after the first read, since the number never changes. */
  async partitions(): Promise<number> {
    this.#partitions ??= (await this.read()).partitions;
    return this.#partitions;
  }

  /** Reads the current layout from the platform. */
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
      const initial: ClaimLayout = { partitions, epoch: 0 };
      await ignoreLostResponse(
        store.update(LAYOUT_KEY, initial, { kind: "absent" }),
      );
    }
    throw new PlatformError("notDone", "Failed to create the claim layout");
  }

  /**
   * Ends the epoch if this process has observed it for `EPOCH_MS`. No wall
   * clock is involved, and a pause of the process can only delay the end.
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
    await ignoreLostResponse(
      store.update(LAYOUT_KEY, { ...layout, epoch: layout.epoch + 1 }, {
        kind: "version",
        version: stored.version,
      }),
    );
  }
}

/** The next read shows whether the update was applied. */
async function ignoreLostResponse(update: Promise<unknown>): Promise<void> {
  try {
    await update;
  } catch (error) {
    if (error instanceof PlatformError && error.kind === "outcomeUnknown") {
      return;
    }
    throw error;
  }
}
