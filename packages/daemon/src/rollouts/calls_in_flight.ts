/**
 * Counts this VM's calls in progress by service and software version, also those
 * that began before a rollout was requested.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";

export class CallsInFlight {
  readonly #services = new Map<ServiceName, Map<SoftwareVersion, number>>();

  /** Returns a function that ends the call; it returns false if it has ended. */
  begin({ service, softwareVersion }: RegisteredServer): () => boolean {
    const versions = this.#services.get(service) ??
      new Map<SoftwareVersion, number>();
    this.#services.set(service, versions);
    versions.set(softwareVersion, (versions.get(softwareVersion) ?? 0) + 1);
    let isEnded = false;
    return () => {
      if (isEnded) return false;
      isEnded = true;
      const count = (versions.get(softwareVersion) ?? 1) - 1;
      if (count > 0) versions.set(softwareVersion, count);
      else versions.delete(softwareVersion);
      return true;
    };
  }

  /** Calls in progress at other versions of the service than this one. */
  countOthers(service: ServiceName, version: SoftwareVersion): number {
    let count = 0;
    for (const [other, calls] of this.#services.get(service) ?? []) {
      if (other !== version) count += calls;
    }
    return count;
  }
}
