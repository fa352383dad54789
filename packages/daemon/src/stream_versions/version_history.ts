/**
 * The software versions that have recently served each service.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { VersionObservation } from "@sassafrasstage/protocol/stream_origin";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { ServedVersionSource } from "./served_versions.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";

export class VersionHistory {
  readonly #register: ServerRegister;
  readonly #served: ServedVersionSource;
  readonly #startedAtMs: number;
  /** When the last server of each version ended. */
  readonly #endedAtMs = new Map<ServiceName, Map<SoftwareVersion, number>>();

  constructor(
    register: ServerRegister,
    served: ServedVersionSource,
    nowMs: number,
  ) {
    this.#register = register;
    this.#served = served;
    this.#startedAtMs = nowMs;
  }

  recordEnded(server: RegisteredServer, nowMs: number): void {
    const versions = this.#endedAtMs.get(server.service) ??
      new Map<SoftwareVersion, number>();
    versions.set(server.softwareVersion, nowMs);
    this.#endedAtMs.set(server.service, versions);
  }

  /** The versions at which a stream that goes on now can have begun. */
  observe(service: ServiceName, nowMs: number): VersionObservation {
    const recorded = this.#served.recorded(service);
    const versions = new Set([
      ...recorded.versions,
      ...this.#register.serversOf(service)
        .map((server) => server.softwareVersion),
    ]);
    for (const [version, endedAtMs] of this.#endedAtMs.get(service) ?? []) {
      if (nowMs - endedAtMs < ORIGIN_RETENTION_MS) versions.add(version);
    }
    return {
      versions: [...versions],
      isComplete: recorded.isComplete ||
        nowMs - this.#startedAtMs >= ORIGIN_RETENTION_MS,
    };
  }
}

/**
 * The only version that any of the VMs has observed; undefined unless one of
 * them knows all versions since before the stream can have begun.
 */
export function findOnlyVersion(
  observations: readonly VersionObservation[],
): SoftwareVersion | undefined {
  if (!observations.some(({ isComplete }) => isComplete)) return undefined;
  const versions = new Set(observations.flatMap(({ versions }) => versions));
  const [version] = versions;
  return versions.size === 1 ? version : undefined;
}
