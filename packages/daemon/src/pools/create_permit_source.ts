/**
 * Chooses the permit source that the settings name.
 *
 * @module
 */

import { createBaselinePermitSource } from "./baseline_permit_source.js";
import type {
  PermitSourceOptions,
  RunningPermitSource,
} from "./running_permit_source.js";

/**
 * Makes the permit source of a daemon. The caller hands its
 * `heartbeatContent` to the peer network.
 *
 * @example
 * ```ts
 * const permits = createPermitSource(options);
 * network.setHeartbeatContent(permits.heartbeatContent);
 * ```
 */
export function createPermitSource(
  options: PermitSourceOptions,
): RunningPermitSource {
  return createBaselinePermitSource(options);
}
