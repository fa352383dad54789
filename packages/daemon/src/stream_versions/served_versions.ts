/**
 * The software versions that have served each service, kept on the platform for
 * VMs that were all restarted at once.
 *
 * A version is recorded when the first of its servers is registered, and removed
 * once no stream that began there can still be taken up.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type {
  StreamOrigin,
  VersionObservation,
} from "@sassafrasstage/protocol/stream_origin";
import type { Clock } from "../clock.js";
import type { ReadResult } from "../deployment/read_result.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { MembershipView, PeerNetwork } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { ServerRegister } from "../register/server_register.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";

/** Keys and format of the objects; each holds one version of one service. */
export interface ServedVersionFormat {
  readonly servedVersionsPrefix: string;
  servedVersionKey(version: StreamOrigin): string;
  servedVersionValue(version: StreamOrigin): unknown;
  readServedVersion(object: StoredObject): ReadResult<StreamOrigin>;
}

export interface ServedVersionsOptions {
  readonly store: ObjectStore;
  readonly objectFormat: ServedVersionFormat;
  readonly network: PeerNetwork;
  readonly register: ServerRegister;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Tells which versions have served, also before this process started. */
export interface ServedVersionSource {
  recorded(service: ServiceName): VersionObservation;
}

/** For a process that keeps nothing on the platform. */
export const NO_RECORDED_VERSIONS: ServedVersionSource = {
  recorded: () => ({ versions: [], isComplete: false }),
};

interface Entry {
  readonly version: StreamOrigin;
  isStored: boolean;
  /** Since when no server of the version has been registered. */
  absentSinceMs: number | undefined;
  /** The view by which this VM leaves storing the version to others. */
  leftToOthersIn: MembershipView | undefined;
}

const CHECK_INTERVAL_MS = 250;
/** Time that the VM that ranks first has for storing a version. */
const OTHER_VM_DELAY_MS = 2000;
const OTHER_VM_SPREAD_MS = 3000;
/**
 * VMs that check that a version is stored. If all VMs did, each of them would
 * read every version once after its start.
 */
const STORING_VM_COUNT = 3;
const RETRY_DELAY_MS = 1000;

export class ServedVersions implements ServedVersionSource {
  readonly #options: ServedVersionsOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #writing = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  /** Services with versions that earlier processes recorded. */
  readonly #listedServices = new Set<ServiceName>();
  /** Whether they recorded nothing at all, as the system is new. */
  #wasEmpty = false;
  #hasListed = false;
  #isClosed = false;

  constructor(options: ServedVersionsOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#check();
    }, CHECK_INTERVAL_MS);
    this.#timer.unref();
    void this.#list();
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
  }

  /** Complete if earlier processes recorded all versions before this one's. */
  recorded(service: ServiceName): VersionObservation {
    return {
      versions: [...this.#entries.values()]
        .filter(({ version }) => version.service === service)
        .map(({ version }) => version.softwareVersion),
      isComplete: this.#hasListed &&
        (this.#wasEmpty || this.#listedServices.has(service)),
    };
  }

  /** Reads what earlier processes recorded, before anything is recorded here. */
  async #list(): Promise<void> {
    const { store, objectFormat, logger } = this.#options;
    while (!this.#isClosed && !this.#hasListed) {
      try {
        const { objects } = await store.list(objectFormat.servedVersionsPrefix);
        this.#adopt(objects);
      } catch (error) {
        logger.info("servedVersionsNotRead", { error: String(error) });
        await sleep(RETRY_DELAY_MS, undefined, { ref: false });
      }
    }
  }

  #adopt(objects: readonly StoredObject[]): void {
    const { objectFormat, metrics, logger } = this.#options;
    for (const object of objects) {
      const result = objectFormat.readServedVersion(object);
      if (result.kind === "value") {
        this.#listedServices.add(result.value.service);
        this.#add(result.value, { isStored: true });
        continue;
      }
      metrics.countEvent("unreadableObject");
      logger.warn("unreadableObject", {
        key: object.key,
        revision: object.version,
        detail: result.detail,
      });
    }
    this.#wasEmpty = objects.length === 0;
    this.#hasListed = true;
    logger.info("servedVersionsRead", { count: objects.length });
  }

  #add(
    version: StreamOrigin,
    { isStored }: { readonly isStored: boolean },
  ): void {
    const name = nameOf(version);
    if (this.#entries.has(name)) return;
    this.#entries.set(name, {
      version,
      isStored,
      absentSinceMs: undefined,
      leftToOthersIn: undefined,
    });
  }

  #check(): void {
    if (!this.#hasListed) return;
    const { register, clock } = this.#options;
    const nowMs = clock.nowMs();
    const served = new Set<string>();
    for (const { service, softwareVersion } of register.allServers()) {
      const version = { service, softwareVersion };
      served.add(nameOf(version));
      this.#add(version, { isStored: false });
    }
    for (const [name, entry] of this.#entries) {
      if (served.has(name)) entry.absentSinceMs = undefined;
      else entry.absentSinceMs ??= nowMs;
      const isOver = entry.absentSinceMs !== undefined &&
        nowMs - entry.absentSinceMs >= ORIGIN_RETENTION_MS;
      if (isOver) this.#remove(name, entry);
      else if (this.#hasToStore(name, entry)) void this.#store(name, entry);
    }
  }

  #hasToStore(name: string, entry: Entry): boolean {
    if (entry.isStored) return false;
    const { network, clock } = this.#options;
    const view = network.view(clock.nowMs());
    // The view is replaced when a member changes, so others may rank first then.
    if (entry.leftToOthersIn === view) return false;
    if (this.#rankOf(name) < STORING_VM_COUNT) return true;
    entry.leftToOthersIn = view;
    return false;
  }

  /** Stores the version unless another VM does. */
  async #store(name: string, entry: Entry): Promise<void> {
    if (this.#writing.has(name)) return;
    this.#writing.add(name);
    const { store, objectFormat, metrics, logger } = this.#options;
    const key = objectFormat.servedVersionKey(entry.version);
    try {
      const isFirst = this.#rankOf(name) === 0;
      if (!isFirst) {
        const delayMs = OTHER_VM_DELAY_MS + OTHER_VM_SPREAD_MS * Math.random();
        await sleep(delayMs, undefined, { ref: false });
      }
      if (this.#isClosed) return;
      if (isFirst || await store.read(key) === undefined) {
        const value = objectFormat.servedVersionValue(entry.version);
        await store.update(key, value, { kind: "absent" });
      }
      entry.isStored = true;
      logger.info("servedVersionStored", { ...entry.version });
    } catch (error) {
      metrics.countEvent("platformCallFailed");
      logger.info("servedVersionNotStored", {
        ...entry.version,
        error: String(error),
      });
      await sleep(RETRY_DELAY_MS, undefined, { ref: false });
    } finally {
      this.#writing.delete(name);
    }
  }

  #remove(name: string, entry: Entry): void {
    this.#entries.delete(name);
    if (entry.isStored && this.#rankOf(name) === 0) {
      void this.#removeStored(entry.version);
    }
  }

  /** An object that stays is removed by the VMs that start next. */
  async #removeStored(version: StreamOrigin): Promise<void> {
    const { store, objectFormat, logger } = this.#options;
    const key = objectFormat.servedVersionKey(version);
    try {
      const stored = await store.read(key);
      if (stored === undefined) return;
      const result = await store.remove(key, stored.version);
      logger.info("servedVersionRemoved", {
        ...version,
        result: result.kind,
      });
    } catch (error) {
      logger.info("servedVersionNotRemoved", {
        ...version,
        error: String(error),
      });
    }
  }

  /** Position of this VM among the live ones that may store the version. */
  #rankOf(name: string): number {
    const { network, clock } = this.#options;
    const live = network.view(clock.nowMs()).members
      .filter(({ state }) => state === "live")
      .map(({ vmId }) => vmId);
    return rankByRendezvous(name, live).indexOf(network.self.vmId);
  }
}

function nameOf({ service, softwareVersion }: StreamOrigin): string {
  return `${service}--${softwareVersion}`;
}
