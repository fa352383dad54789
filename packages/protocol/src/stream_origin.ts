/**
 * Where streams begin, and at which software versions they can have begun.
 *
 * @module
 */

import type { ServiceName, SoftwareVersion } from "./ids.js";

export interface StreamOrigin {
  readonly service: ServiceName;
  /** The stream may go on only at servers of this version. */
  readonly softwareVersion: SoftwareVersion;
}

/** What a VM has observed of the software versions of a service. */
export interface VersionObservation {
  /** The versions of the servers registered now or recently. */
  readonly versions: readonly SoftwareVersion[];
  /** Whether the VM has observed the service for longer than streams last. */
  readonly isComplete: boolean;
}
