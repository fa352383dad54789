/**
 * Chooses the servers of the candidate that receive its permitted requests.
 *
 * Some faults show only under load. The few permitted requests are therefore
 * concentrated on as many servers as get about the load of a server of the
 * current version, and move on to others when these have enough samples.
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
  /** Server to which the canary analysis attributes bad responses. */
  readonly badServer?: BackendServerId | undefined;
}

/** One server alone can't be told from its version. */
const MIN_SERVERS = 2;
/** Samples after which requests move on to servers with fewer. */
const ENOUGH_SAMPLES = 12;

/**
 * Returns the servers that permitted requests may go to, or all of those that
 * can take requests if there are no more than two.
 *
 * @example
 * ```ts
 * const exposed = chooseExposedServers({ servers, previous, … });
 * ```
 */
export function chooseExposedServers(
  input: ExposedServersInput,
): BackendServerId[] {
  const left = [...input.servers];
  const chosen: CandidateServer[] = [];
  const count = Math.min(left.length, serverCount(input));
  while (chosen.length < count) {
    const best = left.reduce((a, b) =>
      compare(input, { a, b, chosen }) <= 0 ? a : b
    );
    left.splice(left.indexOf(best), 1);
    chosen.push(best);
  }
  return chosen.map(({ id }) => id);
}

function serverCount(input: ExposedServersInput): number {
  const { currentPerServerPerSecond, permittedPerSecond } = input;
  if (currentPerServerPerSecond <= 0) return MIN_SERVERS;
  const count = Math.floor(permittedPerSecond / currentPerServerPerSecond);
  return Math.max(MIN_SERVERS, count);
}

/** Negative if `a` is to be chosen before `b`. */
function compare(
  input: ExposedServersInput,
  { a, b, chosen }: {
    readonly a: CandidateServer;
    readonly b: CandidateServer;
    readonly chosen: readonly CandidateServer[];
  },
): number {
  const criteria: ((server: CandidateServer) => number)[] = [
    ({ id }) => Number(id === input.badServer),
    ({ samples }) => Number(samples >= ENOUGH_SAMPLES),
    ({ isCold }) => Number(isCold),
    ({ dataCentre }) =>
      chosen.filter((server) => server.dataCentre === dataCentre).length,
    ({ id }) => Number(!input.previous.includes(id)),
    ({ samples }) => samples,
  ];
  for (const criterion of criteria) {
    const difference = criterion(a) - criterion(b);
    if (difference !== 0) return difference;
  }
  return a.id < b.id ? -1 : 1;
}
