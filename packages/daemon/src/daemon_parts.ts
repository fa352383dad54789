/**
 * Creates, connects and closes the components of the daemon. The peer network
 * and the platform client are closed after the components that use them.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type Incarnation, toId } from "@sassafrasstage/protocol/ids";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import {
  createStageCaller,
  type RunningStageCaller,
} from "./backend_servers/create_stage_caller.js";
import { RequestsInFlight } from "./callers/requests_in_flight.js";
import type { ClaimStore } from "./claims/claim_store.js";
import { createClaimStore } from "./claims/create_claim_store.js";
import { MONOTONIC_CLOCK } from "./clock.js";
import {
  type RunningConfigurationManager,
  startConfigurationManager,
} from "./configuration/start_configuration_manager.js";
import { LatencyRecords } from "./observability/latency_records.js";
import { createLogger, type Logger } from "./observability/logger.js";
import { Metrics } from "./observability/metrics.js";
import {
  type RunningPeerNetwork,
  startPeerNetwork,
} from "./peers/start_peer_network.js";
import type { PipelineEnvironment } from "./pipelines/pipeline_environment.js";
import { RetryBudget } from "./pipelines/retry_budget.js";
import { StageEstimates } from "./pipelines/stage_estimates.js";
import {
  createPlatformClient,
  type PlatformClient,
} from "./platform/create_platform_client.js";
import {
  startVmListPoller,
  type VmListPoller,
} from "./platform/start_vm_list_poller.js";
import { createPermitSource } from "./pools/create_permit_source.js";
import type { RunningPermitSource } from "./pools/running_permit_source.js";
import type { Settings } from "./settings/settings.js";

/** All components of a running daemon. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformClient;
  readonly network: RunningPeerNetwork;
  readonly configuration: RunningConfigurationManager;
  readonly vmListPoller: VmListPoller;
  readonly permits: RunningPermitSource;
  readonly claims: ClaimStore;
  readonly stageCaller: RunningStageCaller;
  readonly latencies: LatencyRecords;
  readonly inFlight: RequestsInFlight;
}

/**
 * Starts all components; rejects when it can't listen on the peer address.
 *
 * @example
 * ```ts
 * const parts = await startParts(settings);
 * await closeParts(parts);
 * ```
 */
export async function startParts(settings: Settings): Promise<DaemonParts> {
  const clock = MONOTONIC_CLOCK;
  const metrics = new Metrics();
  const logger = createLogger(settings.log.level, { vm: settings.vm.id });
  const commonOptions = { settings, clock, metrics, logger };
  const incarnation = toId<Incarnation>(randomUUID());
  const platform = createPlatformClient(commonOptions);
  const network = await startPeerNetwork({ ...commonOptions, incarnation });
  const configuration = startConfigurationManager({
    ...commonOptions,
    store: platform,
    network,
  });
  let latestListing: VmListing | undefined;
  const vmListPoller = startVmListPoller({
    store: platform,
    logger,
    onListing: (newListing) => {
      latestListing = newListing;
      network.setListedVms(newListing);
    },
  });
  const permits = createPermitSource({
    ...commonOptions,
    network,
    configuration,
    listedVms: () => latestListing,
  });
  network.setHeartbeatContent(permits.heartbeatContent);
  const claims = createClaimStore({
    ...commonOptions,
    store: platform,
    network,
  });
  return {
    settings,
    logger,
    metrics,
    platform,
    network,
    configuration,
    vmListPoller,
    permits,
    claims,
    stageCaller: createStageCaller({
      clock,
      sourceAddress: settings.vm.source_address,
    }),
    latencies: new LatencyRecords(),
    inFlight: new RequestsInFlight(),
  };
}

/** Creates the environment that pipelines run in. */
export function makeEnvironment(parts: DaemonParts): PipelineEnvironment {
  return {
    permits: parts.permits,
    stageCaller: parts.stageCaller,
    claims: parts.claims,
    estimates: new StageEstimates(),
    retryBudget: new RetryBudget(parts.settings.pools.retry_budget_percent),
    clock: MONOTONIC_CLOCK,
    metrics: parts.metrics,
    latencies: parts.latencies,
    logger: parts.logger,
  };
}

/** Closes the components; to be called when no requests are in flight. */
export async function closeParts(parts: DaemonParts): Promise<void> {
  await parts.vmListPoller.close();
  await parts.configuration.close();
  parts.permits.close();
  await parts.network.close();
  await parts.stageCaller.close();
  await parts.platform.close();
}
