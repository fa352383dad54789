/**
 * Grants the permits that the rollout owner has reserved.
 *
 * @module
 */

import type {
  BackendServerId,
  SoftwareVersion,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { Metrics } from "../observability/metrics.js";
import type { RegisteredServer } from "../register/server_register.js";
import { ExposedServers } from "./exposed_servers.js";
import {
  type ExposureBudget,
  type PermitGrant,
  planPermits,
} from "./exposure_budget.js";
import type { FleetCounts } from "./fleet_counts.js";
import type { CallCounts } from "./rollout_observations.js";
import type { ExposureSettings } from "./rollout_request.js";

export interface GrantInput {
  readonly budget: ExposureBudget;
  readonly counts: FleetCounts;
  readonly totals: readonly CallCounts[];
  /** Servers of the service that can receive work. */
  readonly servers: readonly RegisteredServer[];
  /** Of the rollout request. */
  readonly durationMs: number;
  /** VMs that get a reply now. */
  readonly receivers: { has(vmId: VmId): boolean };
  readonly nowMs: number;
}

export class PermitGranter {
  readonly #options: {
    readonly exposure: ExposureSettings;
    readonly metrics: Metrics;
  };
  readonly #exposed: ExposedServers;

  constructor(
    candidate: SoftwareVersion,
    options: {
      readonly exposure: ExposureSettings;
      readonly metrics: Metrics;
    },
  ) {
    this.#options = options;
    this.#exposed = new ExposedServers(candidate);
  }

  /** The servers that permits are for. */
  get exposedServers(): readonly BackendServerId[] {
    return this.#exposed.ids;
  }

  grant(input: GrantInput): readonly PermitGrant[] {
    const { budget, counts, totals, nowMs } = input;
    this.#exposed.choose({
      servers: input.servers,
      totals,
      periodMs: Math.max(1, nowMs - counts.orderedAtMs),
      remainingMs: counts.orderedAtMs + input.durationMs - nowMs,
      available: budget.available(),
      share: this.#options.exposure.share,
      nowMs,
    });
    if (this.#exposed.ids.length === 0) return [];
    const grants = planPermits({
      allowance: budget.available(),
      demands: counts.demands(nowMs).filter(({ vm }) =>
        input.receivers.has(vm)
      ),
      samples: samplesByRoute(totals),
    });
    const granted = grants.reduce((sum, { count }) => sum + count, 0);
    budget.recordGranted(granted);
    counts.recordGrants(grants);
    this.#options.metrics.countEvent("rolloutPermitsGranted", granted);
    return grants;
  }
}

function samplesByRoute(totals: readonly CallCounts[]): Map<string, number> {
  const samples = new Map<string, number>();
  for (const { route, side, answered, failed } of totals) {
    if (side !== "candidate") continue;
    samples.set(route, (samples.get(route) ?? 0) + answered + failed);
  }
  return samples;
}
