/**
 * Counts and logs why connections to other daemons ended.
 *
 * @module
 */

import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerError } from "./peer_error.js";

export interface ReportTargets {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Counts and logs an error by its kind. No log field contains the shared key.
 *
 * @example
 * ```ts
 * reportPeerError(error, { metrics, logger });
 * ```
 */
export function reportPeerError(
  error: PeerError,
  targets: ReportTargets,
): void {
  const { metrics, logger } = targets;
  const fields = { reason: error.kind, detail: error.message };
  switch (error.kind) {
    case "badFrame":
      metrics.countDrop("badFrame");
      logger.warn("peerConnectionClosed", fields);
      break;
    case "wrongSharedKey":
      metrics.countDrop("wrongSharedKey");
      logger.warn("peerConnectionClosed", fields);
      break;
    case "otherProtocolVersion":
    case "unexpectedVm":
    case "replacedIncarnation":
    case "notReading":
    case "silent":
      metrics.countEvent(`peer.${error.kind}`);
      logger.warn("peerConnectionClosed", fields);
      break;
    case "connectionClosed":
    case "timeout":
      metrics.countEvent(`peer.${error.kind}`);
      logger.debug("peerConnectionClosed", fields);
      break;
  }
}
