/**
 * Chooses the servers of the candidate that receive its permitted requests.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";

export interface CandidateServer {
  readonly id: BackendServerId;
  readonly dataCentre: DataCentreName;
  readonly isCold: boolean;
  /** Responses of the server so far, good and bad. */
  readonly samples: number;
}

export interface ExposedServersInput {
  /** Candidate servers that can take requests. */
  readonly servers: readonly CandidateServer[];
  /** Servers chosen before, to avoid changes without need. */
  readonly previous: readonly BackendServerId[];
  /** Requests per second that permits allow to the candidate. */
  readonly permittedPerSecond: number;
  /** Requests per second that one server of the current version receives. */
  readonly currentPerServerPerSecond: number;
}

export function chooseExposedServers(
  input: ExposedServersInput,
): BackendServerId[] {
  return input.servers.slice(0, 2).map(({ id }) => id);
}
