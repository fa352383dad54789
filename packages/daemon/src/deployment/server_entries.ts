/**
 * Applies the entries that backend servers write about themselves to the
 * register. Entries that lapsed while the platform was unavailable are kept for
 * as long as it takes their servers to write them again.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { ServerRegister } from "../register/server_register.js";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";

export interface ServerEntriesOptions {
  readonly register: ServerRegister;
  readonly objectFormat: DeploymentObjectFormat;
  readonly clock: Clock;
  /** When the platform's last outage ended; the current time during one. */
  readonly recoveredAtMs: () => number;
  readonly onUnreadable: (object: StoredObject, detail: string) => void;
}

/**
 * Reports that expired while the platform was unavailable are renewed within
 * this time of its recovery.
 */
const REMOVAL_GRACE_MS = 2000;

export class ServerEntries {
  readonly #options: ServerEntriesOptions;
  readonly #pendingRemovals = new Map<BackendServerId, NodeJS.Timeout>();

  constructor(options: ServerEntriesOptions) {
    this.#options = options;
  }

  apply(object: StoredObject): void {
    const { objectFormat, register, clock, onUnreadable } = this.#options;
    const result = objectFormat.readServer(object);
    if (result.kind === "unreadable") {
      onUnreadable(object, result.detail);
      return;
    }
    this.#cancelRemoval(result.value.id);
    register.apply(result.value, clock.nowMs());
  }

  /** Applies the entries of servers that the register doesn't hold. */
  applyUnknown(objects: readonly StoredObject[]): void {
    const { objectFormat, register } = this.#options;
    for (const object of objects) {
      const known = register.get(objectFormat.serverId(object));
      if (known === undefined) this.apply(object);
    }
  }

  remove(object: StoredObject): void {
    const { objectFormat, register, clock, recoveredAtMs } = this.#options;
    const id = objectFormat.serverId(object);
    const graceMs = recoveredAtMs() + REMOVAL_GRACE_MS - clock.nowMs();
    if (graceMs <= 0) {
      register.remove(id);
      return;
    }
    this.#cancelRemoval(id);
    this.#pendingRemovals.set(
      id,
      setTimeout(() => {
        this.#pendingRemovals.delete(id);
        register.remove(id);
      }, graceMs),
    );
  }

  close(): void {
    for (const timer of this.#pendingRemovals.values()) clearTimeout(timer);
  }

  #cancelRemoval(id: BackendServerId): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }
}
