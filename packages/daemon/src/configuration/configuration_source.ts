/**
 * Access to the configuration in force in this process.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type Emittery from "emittery";

export interface ConfigurationEvents {
  /** A configuration of a higher generation came into force. */
  readonly adopted: Configuration;
}

export interface ConfigurationSource {
  readonly events: Emittery<ConfigurationEvents>;
  /** Undefined until the first configuration is adopted. */
  current(): Configuration | undefined;
}
