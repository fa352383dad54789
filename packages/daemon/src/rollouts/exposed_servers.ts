/**
 * The servers of a rollout's candidate that permits are for.
 *
 * @module
 */

import type {
  BackendServerId,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import { chooseExposedServers } from "./candidate_servers.js";
import type { CallCounts } from "./rollout_observations.js";

export interface ExposureState {
  /** Servers of the service that can receive work. */
  readonly servers: readonly RegisteredServer[];
  readonly totals: readonly CallCounts[];
  /** Time in which these were counted. */
  readonly periodMs: number;
  /** Time until the rollout's deadline. */
  readonly remainingMs: number;
  /** Permits that may be granted now. */
  readonly available: number;
  /** Share of the service's requests that the candidate may receive. */
  readonly share: number;
  readonly nowMs: number;
}

const MS_PER_SECOND = 1000;

export class ExposedServers {
  readonly #candidate: SoftwareVersion;
  #ids: readonly BackendServerId[] = [];

  constructor(candidate: SoftwareVersion) {
    this.#candidate = candidate;
  }

  get ids(): readonly BackendServerId[] {
    return this.#ids;
  }

  choose(state: ExposureState): void {
    const { servers, totals, nowMs } = state;
    const candidates = servers.filter(({ softwareVersion }) =>
      softwareVersion === this.#candidate
    );
    const currentCount = servers.length - candidates.length;
    const samples = new Map<BackendServerId, number>();
    let currentSent = 0;
    let sent = 0;
    for (const counts of totals) {
      sent += counts.sent;
      if (counts.side === "current") currentSent += counts.sent;
      if (counts.server === undefined) continue;
      samples.set(
        counts.server,
        (samples.get(counts.server) ?? 0) + counts.answered + counts.failed,
      );
    }
    const seconds = state.periodMs / MS_PER_SECOND;
    const remainingSeconds = Math.max(1, state.remainingMs / MS_PER_SECOND);
    this.#ids = chooseExposedServers({
      servers: candidates.map((server) => ({
        id: server.id,
        dataCentre: server.dataCentre,
        isCold: nowMs < server.coldUntilMs,
        samples: samples.get(server.id) ?? 0,
      })),
      previous: this.#ids,
      permittedPerSecond: state.share * sent / seconds +
        state.available / remainingSeconds,
      currentPerServerPerSecond: currentCount === 0
        ? 0
        : currentSent / seconds / currentCount,
    });
  }
}
