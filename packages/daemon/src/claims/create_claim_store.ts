/**
 * Creates the claim store, which keeps claims in the platform's object API.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import type { Settings } from "../settings/settings.js";
import { ActiveAttempts } from "./active_attempts.js";
import { ClaimCommitters } from "./claim_committers.js";
import type { ClaimStore } from "./claim_store.js";
import { EPOCH_MS, LayoutStore } from "./claim_layout.js";
import { ClaimStoreError } from "./claim_objects.js";
import { UNAVAILABLE } from "./claim_operation.js";
import { ClaimRelay, formatHolder } from "./claim_relay.js";
import { ClaimRouter } from "./claim_router.js";
import { HolderLiveness } from "./holder_liveness.js";
import { OutcomeRecorder } from "./outcome_recorder.js";
import { PlatformClaimStore } from "./platform_claim_store.js";

const EPOCH_CHECK_INTERVAL_MS = EPOCH_MS / 10;

export interface ClaimStoreOptions {
  readonly settings: Settings;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Creates the claim store of this process.
 *
 * @example
 * ```ts
 * const claims = createClaimStore({ settings, store, network, clock, metrics, logger });
 * const decision = await claims.claim(request, signal);
 * if (decision.kind === "held") await run();
 * ```
 */
export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { network, settings, clock, logger } = options;
  const attempts = new ActiveAttempts(formatHolder(network.self));
  const layout = new LayoutStore({
    store: options.store,
    clock,
    logger,
    partitions: settings.claims.partitions,
  });
  const common = { ...options, settings: settings.claims };
  const committers = new ClaimCommitters({
    ...common,
    layout,
    isAbandoned: (record) => attempts.isAbandoned(record),
  });
  const relay = new ClaimRelay({
    ...common,
    commit: (operation) =>
      committers.isReachable(clock.nowMs())
        ? committers.submit(operation)
        : Promise.resolve(UNAVAILABLE),
  });
  const router = new ClaimRouter({ ...common, committers, relay });
  startEpochChecks(layout, logger);
  return new PlatformClaimStore({
    ...options,
    attempts,
    router,
    recorder: new OutcomeRecorder({ ...options, router, attempts }),
    liveness: new HolderLiveness(network),
  });
}

function startEpochChecks(layout: LayoutStore, logger: Logger): void {
  setInterval(() => {
    layout.advanceEpoch().catch((error: unknown) => {
      if (
        !(error instanceof PlatformError || error instanceof ClaimStoreError)
      ) {
        throw error;
      }
      logger.warn("claimEpochUnavailable", { detail: error.message });
    });
  }, EPOCH_CHECK_INTERVAL_MS).unref();
}
