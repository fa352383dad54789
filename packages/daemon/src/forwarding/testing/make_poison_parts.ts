/**
 * The judging of prompt parts for tests whose requests have no such parts.
 *
 * @module
 */

import { MONOTONIC_CLOCK } from "../../clock.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import { PoisonParts } from "../../poison_parts/poison_parts.js";
import { LinkedVm } from "../../stage_graphs/testing/linked_vms.js";

/** Returns one of a VM without peers and without a store. */
export function makePoisonParts(): PoisonParts {
  return new PoisonParts({
    network: new LinkedVm("vm-1"),
    blocks: {
      publish: () => undefined,
      withdraw: () => undefined,
      onChanged: () => undefined,
    },
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
}
