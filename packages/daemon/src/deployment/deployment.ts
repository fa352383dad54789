/**
 * What is deployed, as the platform's objects tell: routes, backend servers,
 * data centres taken out, and the other entry VMs.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import type {
  ListedVm,
  StoredObject,
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
import type { DeploymentForm } from "./deployment_form.js";
import { ObjectMirror } from "./object_mirror.js";
import { SharedObjects } from "./share_objects.js";
import { ObjectWatch } from "./watch_objects.js";

export interface DeploymentOptions {
  readonly store: ObjectStore;
  readonly form: DeploymentForm;
  readonly network: RunningPeerNetwork;
  /** This VM as others shall find it. */
  readonly self: ListedVm;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onServerChange: (change: RegisterChange) => void;
  readonly onRoutes: (table: RouteTable) => void;
}

/** A watch call shows a silent connection after this time. */
const WATCH_WAIT_MS = 4000;
/** The list of entry VMs changes rarely, and peers find one another. */
const ENTRY_VMS_WAIT_MS = 15_000;
/**
 * Reports that lapsed while the platform was away come back within this time
 * of its return.
 */
const LAPSE_GRACE_MS = 2000;
const JOIN_RETRY_MS = 1000;

export class Deployment {
  readonly register: ServerRegister;
  readonly #options: DeploymentOptions;
  readonly #entryVms: ObjectMirror;
  readonly #takenOut: ObjectMirror;
  readonly #watches: ObjectWatch[];
  readonly #serversWatch: ObjectWatch;
  readonly #shared: SharedObjects;
  readonly #lapsing = new Map<BackendServerId, NodeJS.Timeout>();
  #serversListed = false;
  #table: RouteTable | undefined;
  #isClosed = false;

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.register = new ServerRegister(options.onServerChange);
    const { form } = options;
    const configuration = new ObjectMirror(form.configurationPrefix, {
      onUpdated: (object) => {
        this.#adoptConfiguration(object);
      },
      onDeleted: () => undefined,
    });
    const servers = new ObjectMirror(form.serversPrefix, {
      onUpdated: (object) => {
        this.#applyServer(object);
      },
      onDeleted: (object) => {
        this.#removeServer(object);
      },
    });
    this.#takenOut = new ObjectMirror(form.takenOutPrefix, {
      onUpdated: () => {
        this.#applyTakenOut();
      },
      onDeleted: () => {
        this.#applyTakenOut();
      },
    });
    this.#entryVms = new ObjectMirror(form.entryVmsPrefix, {
      onUpdated: () => {
        this.#listEntryVms();
      },
      onDeleted: () => {
        this.#listEntryVms();
      },
    });
    this.#serversWatch = this.#watch(servers, WATCH_WAIT_MS, () => {
      this.#serversListed = true;
    });
    this.#watches = [
      this.#serversWatch,
      this.#watch(configuration, WATCH_WAIT_MS),
      this.#watch(this.#takenOut, WATCH_WAIT_MS),
      this.#watch(this.#entryVms, ENTRY_VMS_WAIT_MS, () => {
        void this.#join();
      }),
    ];
    this.#shared = new SharedObjects({
      ...options,
      mirrors: [configuration, servers, this.#takenOut, this.#entryVms],
    });
  }

  /** The routes in force; undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether requests can be judged and placed. */
  get isKnown(): boolean {
    return this.#table !== undefined &&
      (this.#serversListed || this.register.size > 0);
  }

  /** All entry VMs that were ever listed, this one included. */
  get entryVmCount(): number {
    return Math.max(1, [...this.#entryVms.objects].length);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#shared.close();
    for (const timer of this.#lapsing.values()) clearTimeout(timer);
    await Promise.all(this.#watches.map((watch) => watch.close()));
  }

  #watch(
    mirror: ObjectMirror,
    waitMs: number,
    onListed: () => void = () => undefined,
  ): ObjectWatch {
    return new ObjectWatch({ ...this.#options, mirror, waitMs, onListed });
  }

  #adoptConfiguration(object: StoredObject): void {
    const { form, logger, metrics, onRoutes } = this.#options;
    const readout = form.readConfiguration(object);
    if (readout.kind === "unreadable") {
      this.#noteUnreadable(object, readout.detail);
      return;
    }
    const { version } = readout.value;
    const inForce = this.#table?.configuration.version ?? -1;
    if (version <= inForce) {
      logger.warn("configurationIgnored", { version, inForce });
      return;
    }
    this.#table = new RouteTable(readout.value);
    metrics.setValue("configurationVersion", version);
    logger.info("configurationAdopted", {
      version,
      revision: object.version,
      routes: readout.value.routes.length,
    });
    onRoutes(this.#table);
  }

  #applyServer(object: StoredObject): void {
    const { form, clock } = this.#options;
    const readout = form.readServer(object);
    if (readout.kind === "unreadable") {
      this.#noteUnreadable(object, readout.detail);
      return;
    }
    this.#stopLapse(readout.value.id);
    this.register.apply(readout.value, clock.nowMs());
  }

  #removeServer(object: StoredObject): void {
    const { form, clock } = this.#options;
    const id = form.serverId(object);
    const nowMs = clock.nowMs();
    const graceMs = this.#serversWatch.regainedAtMs + LAPSE_GRACE_MS - nowMs;
    if (graceMs <= 0) {
      this.register.remove(id);
      return;
    }
    this.#stopLapse(id);
    this.#lapsing.set(
      id,
      setTimeout(() => {
        this.#lapsing.delete(id);
        this.register.remove(id);
      }, graceMs),
    );
  }

  #stopLapse(id: BackendServerId): void {
    clearTimeout(this.#lapsing.get(id));
    this.#lapsing.delete(id);
  }

  #applyTakenOut(): void {
    const { form, logger } = this.#options;
    const dataCentres: DataCentreName[] = [...this.#takenOut.objects]
      .map((object) => form.readTakenOut(object));
    this.register.setTakenOut(dataCentres);
    logger.info("dataCentresOut", { dataCentres: dataCentres.join() });
  }

  #listEntryVms(): void {
    const { form, network } = this.#options;
    const vms = [...this.#entryVms.objects].flatMap((object) => {
      const readout = form.readEntryVm(object);
      return readout.kind === "value" ? [readout.value] : [];
    });
    network.setListedVms({ vms });
  }

  /** Makes this VM known to the others, once for each address. */
  async #join(): Promise<void> {
    const { form, self, store, logger } = this.#options;
    const { key, value } = form.entryVmObject(self);
    while (!this.#isClosed) {
      const known = [...this.#entryVms.objects]
        .find((object) => object.key === key);
      if (JSON.stringify(known?.value) === JSON.stringify(value)) return;
      try {
        const result = await store.update(
          key,
          value,
          known === undefined
            ? { kind: "absent" }
            : { kind: "version", version: known.version },
        );
        if (result.kind === "updated") return;
      } catch (error) {
        logger.warn("joinFailed", { error: String(error) });
      }
      await new Promise((resolve) => setTimeout(resolve, JOIN_RETRY_MS));
    }
  }

  #noteUnreadable(object: StoredObject, detail: string): void {
    this.#options.metrics.countEvent("unreadableObject");
    this.#options.logger.warn("unreadableObject", {
      key: object.key,
      revision: object.version,
      detail,
    });
  }
}
