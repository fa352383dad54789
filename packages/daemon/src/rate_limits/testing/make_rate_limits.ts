/**
 * Rate limits of a VM for unit tests.
 *
 * @module
 */

import { MONOTONIC_CLOCK } from "../../clock.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import type { PeerNetwork } from "../../peers/peer_network.js";
import { LinkedVm } from "../../stage_graphs/testing/linked_vms.js";
import { ServerRateLimits } from "../server_rate_limits.js";

/** @param network Connects to no other VM by default */
export function makeRateLimits(
  network: PeerNetwork = new LinkedVm("vm-1"),
): ServerRateLimits {
  return new ServerRateLimits({
    network,
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
}
