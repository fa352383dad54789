/**
 * Writes the status of a rollout into the platform's store.
 *
 * @module
 */

import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { StatusStore } from "../platform/object_store.js";
import {
  isFinal,
  type Rollout,
  type RolloutObjectFormat,
  type RolloutState,
} from "./rollout_request.js";

export interface StatusWriterOptions {
  readonly store: Pick<StatusStore, "read" | "updateStatus">;
  readonly objectFormat: RolloutObjectFormat;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export type StatusWriteResult =
  /** The store holds this final state, or the one that was to be written. */
  | { readonly kind: "stored"; readonly rollout: Rollout }
  /** The rollout request was removed or replaced. */
  | { readonly kind: "gone" }
  /** Nothing is known of the outcome, or another write came first. */
  | { readonly kind: "failed" };

/** An operator's or another VM's write may come first, but not many times. */
const MAX_TRIES = 4;

export class StatusWriter {
  readonly #options: StatusWriterOptions;

  constructor(options: StatusWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes the state unless the store holds a final one for the request. Never
   * rejects. A write whose response is lost is resolved by reading.
   */
  async write(
    rollout: Rollout,
    state: RolloutState,
  ): Promise<StatusWriteResult> {
    let known = rollout;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const stored = await this.#tryOnce(known, state);
      if (stored === "failed") return { kind: "failed" };
      if (stored === undefined) return { kind: "gone" };
      const read = this.#read(stored);
      if (read?.request.id !== rollout.request.id) return { kind: "gone" };
      if (read.state === state || isFinal(read.state)) {
        return { kind: "stored", rollout: read };
      }
      known = read;
    }
    return { kind: "failed" };
  }

  async #tryOnce(
    known: Rollout,
    state: RolloutState,
  ): Promise<StoredObject | undefined | "failed"> {
    const { store, objectFormat, logger, metrics } = this.#options;
    const { key, revision, request } = known;
    const fields = {
      service: request.service,
      to: request.to,
      state,
      revision,
    };
    try {
      const status = objectFormat.rolloutStatus({ state, to: request.to });
      const result = await store.updateStatus(key, status, revision);
      if (result.kind === "updated") {
        logger.info("rolloutStatusWritten", {
          ...fields,
          storedRevision: result.object.version,
        });
        return result.object;
      }
      metrics.countEvent("rolloutStatusConflict");
      logger.info("rolloutStatusConflict", {
        ...fields,
        storedRevision: result.object?.version,
        storedState: this.#read(result.object)?.state,
      });
      return result.object;
    } catch (error) {
      metrics.countEvent("platformCallFailed");
      logger.info("rolloutStatusNotWritten", {
        ...fields,
        error: String(error),
      });
    }
    try {
      return await store.read(key);
    } catch {
      return "failed";
    }
  }

  #read(object: StoredObject | undefined): Rollout | undefined {
    if (object === undefined) return undefined;
    const result = this.#options.objectFormat.readRollout(object);
    return result.kind === "value" ? result.value : undefined;
  }
}
