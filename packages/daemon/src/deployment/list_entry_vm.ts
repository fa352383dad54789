/**
 * Lists this VM as an entry VM on the platform.
 *
 * @module
 */

import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../observability/logger.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface EntryVmListing {
  readonly store: ObjectStore;
  readonly objectFormat: DeploymentObjectFormat;
  readonly self: ListedVm;
  readonly entryVms: ObjectMirror;
  readonly isClosed: () => boolean;
  readonly logger: Logger;
}

const RETRY_DELAY_MS = 1000;

/**
 * Adds this VM to the list, or updates its entry after an address change.
 * Retries until it is listed or closed.
 */
export async function listEntryVm(listing: EntryVmListing): Promise<void> {
  const { objectFormat, self, store, entryVms, isClosed, logger } = listing;
  const { key, value } = objectFormat.entryVmObject(self);
  while (!isClosed()) {
    const stored = entryVms.confirmed(key);
    if (JSON.stringify(stored?.value) === JSON.stringify(value)) return;
    try {
      const result = await store.update(
        key,
        value,
        stored === undefined
          ? { kind: "absent" }
          : { kind: "version", version: stored.version },
      );
      if (result.kind === "updated") return;
    } catch (error) {
      logger.warn("joinFailed", { error: String(error) });
    }
    await sleep(RETRY_DELAY_MS);
  }
}
