/**
 * Remembers which software versions of each service this VM has seen.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";

/**
 * The rollout request for a new version may arrive this much later than the
 * first of its servers.
 */
export const NEW_VERSION_HOLD_MS = 1500;

interface Sighting {
  readonly firstSeenAtMs: number;
  /** Lowest start time of its servers, if they state one. */
  earliestStart: number;
}

export class VersionSightings {
  readonly #services = new Map<ServiceName, Map<SoftwareVersion, Sighting>>();
  readonly #startedAtMs: number;

  /** @param nowMs When this process started */
  constructor(nowMs: number) {
    this.#startedAtMs = nowMs;
  }

  record(server: RegisteredServer, nowMs: number): void {
    const { service, softwareVersion, startedAt = Infinity } = server;
    const versions = this.#services.get(service) ??
      new Map<SoftwareVersion, Sighting>();
    this.#services.set(service, versions);
    const known = versions.get(softwareVersion);
    if (known === undefined) {
      versions.set(softwareVersion, {
        firstSeenAtMs: nowMs,
        earliestStart: startedAt,
      });
    } else known.earliestStart = Math.min(known.earliestStart, startedAt);
  }

  /** Whether a version of the service other than this one has been seen. */
  hasSeenOther(service: ServiceName, version: SoftwareVersion): boolean {
    const versions = this.#services.get(service);
    return versions !== undefined &&
      versions.size > (versions.has(version) ? 1 : 0);
  }

  /**
   * Versions that were seen by this time and whose servers were started before
   * those of this one. A process that starts long after a rollout sees later
   * versions too.
   */
  seenBefore(
    service: ServiceName,
    version: SoftwareVersion,
    atMs: number,
  ): ReadonlySet<SoftwareVersion> {
    const versions = this.#services.get(service);
    const startedAt = versions?.get(version)?.earliestStart ?? Infinity;
    const former = [...versions ?? []]
      .filter(([other, { firstSeenAtMs, earliestStart }]) =>
        other !== version && firstSeenAtMs <= atMs &&
        earliestStart <= startedAt
      )
      .map(([other]) => other);
    return new Set(former);
  }

  /**
   * Whether a version is so new that the rollout request for it may not have
   * arrived yet. Right after the start of this process, all versions are new to
   * it; the one whose servers were started last counts as new then.
   */
  isHeld(
    service: ServiceName,
    version: SoftwareVersion,
    nowMs: number,
  ): boolean {
    const versions = this.#services.get(service);
    const sighting = versions?.get(version);
    if (versions === undefined || sighting === undefined) return false;
    if (nowMs >= sighting.firstSeenAtMs + NEW_VERSION_HOLD_MS) return false;
    return [...versions].some(([other, { firstSeenAtMs, earliestStart }]) => {
      if (other === version) return false;
      const isSeenAtStart =
        sighting.firstSeenAtMs <= this.#startedAtMs + NEW_VERSION_HOLD_MS;
      return isSeenAtStart
        ? earliestStart < sighting.earliestStart ||
          (earliestStart === sighting.earliestStart &&
            firstSeenAtMs < sighting.firstSeenAtMs)
        : firstSeenAtMs < sighting.firstSeenAtMs;
    });
  }
}
