/**
 * The deployment as described by the platform's objects: routes, backend
 * servers, data centres out of service, and the other entry VMs.
 *
 * @module
 */

import type { DataCentreName } from "@sassafrasstage/protocol/ids";
import {
  FIRST_STORE_ERA,
  type ListedVm,
  type StoredObject,
} from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { RunningPeerNetwork } from "../peers/running_peer_network.js";
import type { ObjectStore } from "../platform/object_store.js";
import {
  type RegisterChange,
  ServerRegister,
} from "../register/server_register.js";
import { RouteTable } from "../routing/route_table.js";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";
import { listEntryVm } from "./list_entry_vm.js";
import { type EraChange, ObjectMirror } from "./object_mirror.js";
import { ObjectsConfirmation } from "./objects_confirmation.js";
import { ChangeSharing } from "./share_changes.js";
import { makeRolloutMirror, type RolloutListener } from "./rollout_mirror.js";
import { ServerEntries } from "./server_entries.js";
import { ObjectSharing } from "./share_objects.js";
import { MAX_STORE_AGE_MS, StoreWatchers } from "./store_watchers.js";
import { StoredPartBlocks } from "./stored_part_blocks.js";
import { ObjectWatch, type ObjectWatchOptions } from "./watch_objects.js";

export interface DeploymentOptions {
  readonly store: ObjectStore;
  readonly objectFormat: DeploymentObjectFormat;
  readonly network: RunningPeerNetwork;
  /** This VM's entry in the list of entry VMs. */
  readonly self: ListedVm;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onServerChange: (change: RegisterChange) => void;
  readonly onRoutes: (table: RouteTable) => void;
  /** Undefined where rollouts aren't supervised; their objects aren't read then. */
  readonly rollouts?: RolloutListener | undefined;
}

/** The longest time for which a watch call waits for events. */
const WATCH_WAIT_MS = 15_000;
/**
 * Shorter, as this watch also detects when connections to the platform have
 * fallen silent; all watches are then started again.
 */
const CONFIGURATION_WAIT_MS = 1200;
/**
 * Collects changes that come in quick succession, as when all VMs start, so that
 * not each of them ends a call.
 */
const RARE_CHANGES_INTERVAL_MS = 1000;
const SERVER_CHANGES_INTERVAL_MS = 150;
/** Interval at which this VM's part in watching the store is chosen anew. */
const STORE_ROLE_INTERVAL_MS = 250;
/**
 * After the store came back from an older copy, its operators and servers write
 * again what it lost; what it still lacks after this time is gone.
 */
const RESTORATION_MS = 3000;
/**
 * Time after such a return within which the platform removes the entries of
 * servers that no longer report.
 */
const ENDED_SERVER_ENTRY_MS = 10_000;

export class Deployment {
  readonly register: ServerRegister;
  readonly partBlocks: StoredPartBlocks;
  readonly #options: DeploymentOptions;
  readonly #entryVms: ObjectMirror;
  readonly #dataCentresOut: ObjectMirror;
  readonly #watches: ObjectWatch[];
  readonly #serversWatch: ObjectWatch;
  readonly #serversConfirmation: ObjectsConfirmation;
  readonly #configurationWatch: ObjectWatch;
  readonly #sharing: ObjectSharing;
  readonly #watchers: StoreWatchers;
  readonly #rollouts: ObjectMirror | undefined;
  readonly #roleTimer: NodeJS.Timeout;
  /** When the latest outage ended that a watcher of the store has seen. */
  #toldRecoveredAtMs = -Infinity;
  readonly #serverEntries: ServerEntries;
  readonly #returnTimers = new Set<NodeJS.Timeout>();
  #hasListedServers = false;
  #table: RouteTable | undefined;
  #isClosed = false;

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.register = new ServerRegister(options.onServerChange);
    const { objectFormat } = options;
    this.#serverEntries = new ServerEntries({
      ...options,
      register: this.register,
      recoveredAtMs: () =>
        Math.max(this.#serversWatch.recoveredAtMs, this.#toldRecoveredAtMs),
      onUnreadable: (object, detail) => {
        this.#recordUnreadable(object, detail);
      },
    });
    const configuration = new ObjectMirror(objectFormat.configurationPrefix, {
      onUpdated: (object) => {
        this.#adoptConfiguration(object);
      },
      onDeleted: () => undefined,
      onEraChanged: (change) => {
        this.#handleEraChange(configuration, change);
      },
      generationOf: (object) => {
        const result = objectFormat.readConfiguration(object);
        return result.kind === "value" ? result.value.version : undefined;
      },
    });
    const servers = new ObjectMirror(objectFormat.serversPrefix, {
      onEraChanged: (change) => {
        this.#handleEraChange(servers, change);
        this.#withholdEndedServers(servers);
      },
      onUpdated: (object) => {
        this.#serverEntries.apply(object);
      },
      onDeleted: (object) => {
        this.#serverEntries.remove(object);
      },
    });
    this.#serversConfirmation = new ObjectsConfirmation({
      ...options,
      mirror: servers,
    });
    this.#dataCentresOut = new ObjectMirror(objectFormat.dataCentresOutPrefix, {
      onEraChanged: (change) => {
        this.#handleEraChange(this.#dataCentresOut, change);
      },
      onUpdated: () => {
        this.#applyDataCentresOut();
      },
      onDeleted: () => {
        this.#applyDataCentresOut();
      },
    });
    this.#entryVms = new ObjectMirror(objectFormat.entryVmsPrefix, {
      onEraChanged: (change) => {
        this.#handleEraChange(this.#entryVms, change);
      },
      onUpdated: () => undefined,
      onDeleted: () => undefined,
    });
    this.#entryVms.onChanges(() => {
      this.#updateListedVms();
    });
    this.partBlocks = new StoredPartBlocks({
      ...options,
      onEraChanged: (change) => {
        this.#handleEraChange(this.partBlocks.mirror, change);
        void this.partBlocks.restoreUnconfirmed();
      },
    });
    this.#rollouts = makeRolloutMirror(options, (mirror, change) => {
      this.#handleEraChange(mirror, change);
    });
    this.#watchers = new StoreWatchers(options);
    this.#serversWatch = this.#startWatch(servers, {
      waitMs: WATCH_WAIT_MS,
      minIntervalMs: SERVER_CHANGES_INTERVAL_MS,
      onListed: () => {
        this.#hasListedServers = true;
      },
    });
    this.#configurationWatch = new ObjectWatch({
      ...options,
      mirror: configuration,
      waitMs: CONFIGURATION_WAIT_MS,
      isFollowing: (nowMs) => this.#watchers.isFollowing(nowMs),
      onSilent: () => {
        for (const watch of this.#watches) watch.restart();
      },
    });
    this.#watches = [
      this.#serversWatch,
      this.#configurationWatch,
      this.#startWatch(this.#dataCentresOut, { waitMs: WATCH_WAIT_MS }),
      this.#startWatch(this.#entryVms, {
        waitMs: WATCH_WAIT_MS,
        minIntervalMs: RARE_CHANGES_INTERVAL_MS,
        onListed: () => {
          void listEntryVm({
            ...options,
            entryVms: this.#entryVms,
            isClosed: () => this.#isClosed,
          });
        },
      }),
      this.#startWatch(this.partBlocks.mirror, {
        waitMs: WATCH_WAIT_MS,
      }),
      ...(this.#rollouts === undefined ? [] : [
        // Watchers of older builds don't tell of rollouts.
        this.#startWatch(this.#rollouts, {
          waitMs: WATCH_WAIT_MS,
          isFollowing: (nowMs) =>
            this.#needsNoWatch(nowMs) && this.#watchers.knowRollouts(nowMs),
        }),
      ]),
    ];
    // All VMs list the kinds in this order. Those of older builds, and those that
    // don't supervise rollouts, don't have the last one.
    const mirrors = [
      configuration,
      servers,
      this.#dataCentresOut,
      this.#entryVms,
      this.partBlocks.mirror,
      ...(this.#rollouts === undefined ? [] : [this.#rollouts]),
    ];
    this.#sharing = new ObjectSharing({
      ...options,
      configuration,
      generation: () => toGeneration(this.#table),
      mirrors,
    });
    this.#shareChanges(mirrors);
    this.#roleTimer = setInterval(() => {
      this.#watchers.update(options.clock.nowMs());
      for (const watch of this.#watches) watch.checkFollowing();
    }, STORE_ROLE_INTERVAL_MS);
  }

  #shareChanges(mirrors: readonly ObjectMirror[]): void {
    const { network } = this.#options;
    new ChangeSharing({
      ...this.#options,
      mirrors,
      watchers: this.#watchers,
      recoveredAtMs: () => this.#serversWatch.recoveredAtMs,
      onRecovered: (recoveredAtMs) => {
        this.#toldRecoveredAtMs = Math.max(
          this.#toldRecoveredAtMs,
          recoveredAtMs,
        );
      },
    });
    network.setTakesObjectChanges();
    network.setStoreAge((nowMs) =>
      this.#watchers.role === "watcher"
        ? nowMs - this.#configurationWatch.lastResponseAtMs
        : undefined
    );
  }

  /**
   * Brings the register up to date with the store. Resolves with false if the
   * store doesn't answer in time; never rejects.
   */
  confirmRegister(): Promise<boolean> {
    return this.#serversConfirmation.confirm();
  }

  /** The current routes; undefined until the first configuration is read. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Time since the platform last answered a call for the configuration. */
  configurationAgeMs(nowMs: number): number {
    const respondedAtMs = Math.max(
      this.#configurationWatch.lastResponseAtMs,
      this.#watchers.respondedAtMs(),
    );
    return nowMs - respondedAtMs;
  }

  /** Whether requests can be checked and assigned to backend servers. */
  get isReady(): boolean {
    return this.#table !== undefined &&
      (this.#hasListedServers || this.register.size > 0);
  }

  /**
   * The number of listed entry VMs, this one included. Daemons never remove
   * their entry, so VMs that have left are counted too.
   */
  get entryVmCount(): number {
    return Math.max(1, this.#entryVms.objects.length);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#sharing.close();
    clearInterval(this.#roleTimer);
    this.partBlocks.close();
    this.#serverEntries.close();
    for (const timer of this.#returnTimers) clearTimeout(timer);
    await Promise.all(this.#watches.map((watch) => watch.close()));
  }

  #startWatch(
    mirror: ObjectMirror,
    options: Pick<
      ObjectWatchOptions,
      "waitMs" | "minIntervalMs" | "onListed" | "isFollowing"
    >,
  ): ObjectWatch {
    return new ObjectWatch({
      isFollowing: (nowMs) => this.#needsNoWatch(nowMs),
      ...this.#options,
      ...options,
      mirror,
    });
  }

  /** The era of the store to which the known rollout requests belong. */
  get rolloutEra(): number {
    return this.#rollouts?.era ?? FIRST_STORE_ERA;
  }

  /**
   * While the store answers nobody, only the watch of the configuration finds out
   * when it is back.
   */
  #needsNoWatch(nowMs: number): boolean {
    if (this.#watchers.isFollowing(nowMs)) return true;
    const isUnanswered = nowMs - this.#configurationWatch.lastResponseAtMs >
      MAX_STORE_AGE_MS;
    return isUnanswered && this.#watchers.hasLiveWatcher(nowMs);
  }

  #adoptConfiguration(object: StoredObject): void {
    const { objectFormat, logger, metrics, network, onRoutes } = this.#options;
    const result = objectFormat.readConfiguration(object);
    if (result.kind === "unreadable") {
      this.#recordUnreadable(object, result.detail);
      return;
    }
    const { version } = result.value;
    const inForce = this.#table?.configuration.version ?? -1;
    if (version <= inForce) {
      logger.warn("configurationIgnored", { version, inForce });
      return;
    }
    this.#table = new RouteTable(result.value);
    network.setGeneration(toGeneration(this.#table));
    metrics.setGauge("configurationVersion", version);
    logger.info("configurationAdopted", {
      version,
      revision: object.version,
      routes: result.value.routes.length,
    });
    onRoutes(this.#table);
  }

  /**
   * The store has come back from an older copy. What it lost is kept for as long
   * as it takes to be written again.
   */
  #handleEraChange(mirror: ObjectMirror, { from, to }: EraChange): void {
    const { logger, metrics } = this.#options;
    metrics.countEvent("storeEraChanged");
    logger.warn("storeEraChanged", { objects: mirror.prefix, from, to });
    for (const watch of this.#watches) watch.restartIfBefore(to);
    this.#afterReturn(RESTORATION_MS, () => {
      const lost = mirror.dropUnconfirmed(to);
      logger.info("storeEraRestored", {
        objects: mirror.prefix,
        era: to,
        revision: mirror.completeRevision,
        known: mirror.objects.length,
        lost,
      });
    });
  }

  #withholdEndedServers(servers: ObjectMirror): void {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + ENDED_SERVER_ENTRY_MS;
    this.register.withholdEndedUntil(untilMs);
    this.#afterReturn(ENDED_SERVER_ENTRY_MS, () => {
      this.#serverEntries.applyUnknown(servers.objects);
    });
  }

  #afterReturn(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#returnTimers.delete(timer);
      action();
    }, delayMs);
    this.#returnTimers.add(timer);
  }

  #applyDataCentresOut(): void {
    const { objectFormat, logger } = this.#options;
    const dataCentres: DataCentreName[] = this.#dataCentresOut.objects
      .map((object) => objectFormat.readDataCentreOut(object));
    this.register.setDataCentresOut(dataCentres);
    logger.info("dataCentresOut", { dataCentres: dataCentres.join() });
  }

  #updateListedVms(): void {
    const { objectFormat, network } = this.#options;
    const vms = this.#entryVms.objects.flatMap((object) => {
      const result = objectFormat.readEntryVm(object);
      return result.kind === "value" ? [result.value] : [];
    });
    network.setListedVms({ vms });
  }

  #recordUnreadable(object: StoredObject, detail: string): void {
    this.#options.metrics.countEvent("unreadableObject");
    this.#options.logger.warn("unreadableObject", {
      key: object.key,
      revision: object.version,
      detail,
    });
  }
}

/** The version as peers compare it: a non-negative integer. */
function toGeneration(table: RouteTable | undefined): number {
  return Math.max(0, Math.floor(table?.configuration.version ?? 0));
}
