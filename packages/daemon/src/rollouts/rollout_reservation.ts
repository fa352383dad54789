/**
 * Reserves the exposure of a rollout's candidate in the platform's store before
 * permits for it are granted.
 *
 * The object is written only by the VM that wrote it last. A VM that takes over
 * claims it with a write of its own, after which every write of the former owner
 * fails.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import type {
  RolloutObjectFormat,
  RolloutRecord,
  RolloutRequest,
} from "./rollout_request.js";

export interface RolloutReservationOptions {
  readonly store: Pick<ObjectStore, "read" | "update">;
  readonly objectFormat: RolloutObjectFormat;
  readonly request: RolloutRequest;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What the owner writes; the reservation adds the rest. */
export type RecordContent = Pick<
  RolloutRecord,
  "phase" | "requests" | "reserved" | "elapsedMs" | "owner" | "counts"
>;

export interface ClaimedReservation {
  /** What former owners stored for this request, if there were any. */
  readonly former: RolloutRecord | undefined;
  /** Reserved before this VM's present term. */
  readonly reservedBefore: number;
  /** Reserved in all. */
  readonly reserved: number;
}

export class RolloutReservation {
  readonly #options: RolloutReservationOptions;
  #revision: number | undefined;
  #term = "";
  #reservedBefore = 0;

  constructor(options: RolloutReservationOptions) {
    this.#options = options;
  }

  /** Whether this VM wrote the object last, as far as it knows. */
  get isClaimed(): boolean {
    return this.#revision !== undefined;
  }

  /** Differs with each claim. */
  get term(): string {
    return this.#term;
  }

  get revision(): number {
    return this.#revision ?? 0;
  }

  /** The object has to be claimed again before it is written. */
  release(): void {
    this.#revision = undefined;
  }

  /**
   * Reads the object and writes what `build` makes of it. Returns undefined if
   * another VM wrote meanwhile, or the store didn't answer. If this VM's own
   * write is found, whose response was lost, its term goes on.
   */
  async claim(
    build: (former: RolloutRecord | undefined) => RecordContent,
  ): Promise<ClaimedReservation | undefined> {
    const { store, objectFormat, request } = this.#options;
    const key = objectFormat.rolloutRecordKey(request.service);
    this.release();
    let stored: StoredObject | undefined;
    try {
      stored = await store.read(key);
    } catch (error) {
      this.#recordFailure(error);
      return undefined;
    }
    const read = this.#read(stored);
    // Nothing is exposed while it isn't known how much was before.
    if (read === "unreadable") return undefined;
    if (stored !== undefined && read?.term === this.#term) {
      this.#revision = stored.version;
      return {
        former: read,
        reservedBefore: this.#reservedBefore,
        reserved: read.reserved,
      };
    }
    const content = build(read);
    this.#term = randomUUID();
    this.#reservedBefore = read?.reserved ?? 0;
    if (!await this.#put(content, stored?.version)) return undefined;
    return {
      former: read,
      reservedBefore: this.#reservedBefore,
      reserved: content.reserved,
    };
  }

  /** Returns false if nothing is known to be stored; claim the object again. */
  async write(content: RecordContent): Promise<boolean> {
    const revision = this.#revision;
    if (revision === undefined) return false;
    return this.#put(content, revision);
  }

  async #put(
    content: RecordContent,
    version: number | undefined,
  ): Promise<boolean> {
    const { store, objectFormat, request, logger, metrics } = this.#options;
    const record = {
      ...content,
      service: request.service,
      candidate: request.to,
      request: request.id,
      term: this.#term,
    };
    try {
      const result = await store.update(
        objectFormat.rolloutRecordKey(request.service),
        objectFormat.rolloutRecordValue(record),
        version === undefined
          ? { kind: "absent" }
          : { kind: "version", version },
      );
      if (result.kind === "updated") {
        this.#revision = result.version;
        logger.info("rolloutReserved", {
          service: request.service,
          to: request.to,
          phase: content.phase,
          requests: content.requests,
          reserved: content.reserved,
          revision: result.version,
        });
        return true;
      }
      metrics.countEvent("rolloutReservationConflict");
      logger.info("rolloutReservationConflict", {
        service: request.service,
        to: request.to,
        revision: version,
      });
    } catch (error) {
      this.#recordFailure(error);
    }
    // After a lost response too: a claim finds out what is stored.
    this.release();
    return false;
  }

  /** Undefined if the object is absent or is of another request. */
  #read(
    stored: StoredObject | undefined,
  ): RolloutRecord | undefined | "unreadable" {
    if (stored === undefined) return undefined;
    const { objectFormat, request, metrics, logger } = this.#options;
    const result = objectFormat.readRolloutRecord(stored);
    if (result.kind === "value") {
      return result.value.request === request.id ? result.value : undefined;
    }
    metrics.countEvent("unreadableObject");
    logger.warn("unreadableObject", {
      key: stored.key,
      revision: stored.version,
      detail: result.detail,
    });
    return "unreadable";
  }

  #recordFailure(error: unknown): void {
    const { request, metrics, logger } = this.#options;
    metrics.countEvent("platformCallFailed");
    logger.info("rolloutReservationFailed", {
      service: request.service,
      to: request.to,
      error: String(error),
    });
  }
}
