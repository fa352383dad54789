/**
 * Where streams begin, and at which software versions they can have begun.
 *
 * @module
 */

import type { AttemptId, ServiceName, SoftwareVersion } from "./ids.js";

export interface StreamOrigin {
  readonly service: ServiceName;
  /** The stream may go on only at servers of this version. */
  readonly softwareVersion: SoftwareVersion;
}

/** Streams that began at the same place. */
export interface BegunStreams {
  readonly origin: StreamOrigin;
  /** The clients' attempts that brought the first events. */
  readonly attemptIds: readonly AttemptId[];
}

/** What a VM has observed of the software versions of a service. */
export interface VersionObservation {
  /** The versions of the servers registered now or recently. */
  readonly versions: readonly SoftwareVersion[];
  /** Whether the VM has observed the service for longer than streams last. */
  readonly isComplete: boolean;
}
