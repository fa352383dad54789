/**
 * Where the first event of a stream came from.
 *
 * @module
 */

import type { ServiceName, SoftwareVersion } from "./ids.js";

export interface StreamOrigin {
  readonly service: ServiceName;
  /** The stream may go on only at servers of this version. */
  readonly softwareVersion: SoftwareVersion;
}
