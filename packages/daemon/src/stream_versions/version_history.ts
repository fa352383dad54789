/**
 * The software versions that have recently served each service.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";

export class VersionHistory {
  readonly #startedAtMs: number;
  /** When the last server of each version ended. */
  readonly #endedAtMs = new Map<ServiceName, Map<SoftwareVersion, number>>();

  constructor(nowMs: number) {
    this.#startedAtMs = nowMs;
  }

  recordEnded(server: RegisteredServer, nowMs: number): void {
    const versions = this.#endedAtMs.get(server.service) ??
      new Map<SoftwareVersion, number>();
    versions.set(server.softwareVersion, nowMs);
    this.#endedAtMs.set(server.service, versions);
  }

  /**
   * The only version at which a stream of the service can have begun; undefined
   * if there were several, or if this VM hasn't observed the service for long
   * enough to exclude it.
   *
   * @param servers All registered servers of the service
   */
  onlyVersion(
    service: ServiceName,
    servers: readonly RegisteredServer[],
    nowMs: number,
  ): SoftwareVersion | undefined {
    if (nowMs - this.#startedAtMs < ORIGIN_RETENTION_MS) return undefined;
    const versions = new Set(servers.map((server) => server.softwareVersion));
    for (const [version, endedAtMs] of this.#endedAtMs.get(service) ?? []) {
      if (nowMs - endedAtMs < ORIGIN_RETENTION_MS) versions.add(version);
    }
    const [version] = versions;
    return versions.size === 1 ? version : undefined;
  }
}
