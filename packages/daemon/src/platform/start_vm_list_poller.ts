/**
 * Periodically reads the platform's list of VMs.
 *
 * @module
 */

import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../observability/logger.js";
import type { ObjectStore } from "./object_store.js";

const DEFAULT_INTERVAL_MS = 1000;
/** Fraction of the interval over which polls are randomized, to spread load. */
const JITTER_RATIO = 0.2;

export interface VmListPollerOptions {
  readonly store: Pick<ObjectStore, "listVms">;
  readonly logger: Logger;
  readonly onListing: (listing: VmListing) => void;
  readonly intervalMs?: number;
}

export interface VmListPoller {
  close(): Promise<void>;
}

/**
 * Polls until closed. A failed poll is skipped; the next one follows after the
 * regular interval.
 *
 * @example
 * ```ts
 * const poller = startVmListPoller({ store, logger, onListing });
 * await poller.close();
 * ```
 */
export function startVmListPoller(options: VmListPollerOptions): VmListPoller {
  const abort = new AbortController();
  const ended = poll(options, abort.signal);
  return {
    close: async () => {
      abort.abort();
      await ended;
    },
  };
}

async function poll(
  options: VmListPollerOptions,
  signal: AbortSignal,
): Promise<void> {
  const intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
  while (!signal.aborted) {
    await pollOnce(options, signal);
    const waitMs = intervalMs * (1 + JITTER_RATIO * (Math.random() - 0.5));
    await sleep(waitMs, undefined, { signal }).catch(() => undefined);
  }
}

async function pollOnce(
  options: VmListPollerOptions,
  signal: AbortSignal,
): Promise<void> {
  try {
    const listing = await options.store.listVms();
    if (!signal.aborted) options.onListing(listing);
  } catch (error) {
    options.logger.debug("vmListUnread", { error: String(error) });
  }
}
