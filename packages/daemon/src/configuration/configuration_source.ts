/**
 * The configuration in force in this process.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type Emittery from "emittery";

export interface ConfigurationEvents {
  /** A higher generation is in force. */
  readonly adopted: Configuration;
}

export interface ConfigurationSource {
  readonly events: Emittery<ConfigurationEvents>;
  /** Undefined until the first one is adopted. */
  current(): Configuration | undefined;
}
