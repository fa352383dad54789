/**
 * Creates the permit source for the policy in the settings.
 *
 * @module
 */

import { createBaselinePermitSource } from "./baseline_permit_source.js";
import type {
  PermitSourceOptions,
  RunningPermitSource,
} from "./running_permit_source.js";
import { SharedPermitSource } from "./shared_permit_source.js";

const TICK_MS = 50;

/**
 * Creates the permit source of a daemon. The caller must pass its
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
  switch (options.settings.policy.name) {
    case "baseline":
      return createBaselinePermitSource(options);
    case "current":
      return startSharedPermitSource(options);
  }
}

function startSharedPermitSource(
  options: PermitSourceOptions,
): RunningPermitSource {
  const source = new SharedPermitSource(options);
  const timer = setInterval(() => {
    source.tick();
  }, TICK_MS);
  timer.unref();
  return {
    heartbeatContent: source.heartbeatContent,
    acquire: (permitRequest, signal) => source.acquire(permitRequest, signal),
    release: (permit, release) => {
      source.release(permit, release);
    },
    recordFirstToken: (permit, firstTokenMs) => {
      source.recordFirstToken(permit, firstTokenMs);
    },
    isPermitValid: (permit, nowMs) => source.isPermitValid(permit, nowMs),
    candidatePools: (service, nowMs) => source.candidatePools(service, nowMs),
    statuses: (nowMs) => source.statuses(nowMs),
    startLeaving: () => {
      source.startLeaving();
    },
    close: () => {
      clearInterval(timer);
      source.close();
    },
  };
}
