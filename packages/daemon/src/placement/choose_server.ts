/**
 * Chooses the backend server for one request.
 *
 * Load patterns:
 * - Plain services with a tight objective and few slots: the least loaded
 *   healthy server is chosen, with a preference for the same data centre.
 * - Engines that cache prompt prefixes: the same prefix goes to the same engine
 *   unless that engine is far more loaded than the others.
 * - Engines that crash for lack of memory: the load of an engine that is full or
 *   has crashed is spread over many others.
 * - Servers that restart cold: the rate of requests to each of them is limited.
 * - Servers of different speed on shared machines, which state their load: the
 *   load of all VMs counts, as well as how long work takes there. Many VMs hear
 *   the same, so each chooses at random among about equally good servers.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { ExposurePermit } from "../rollouts/rollout_gate.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { CandidateLoad } from "../server_load/server_loads.js";
import type { ServerHealth } from "./server_health.js";

export interface ServerCandidate {
  readonly server: RegisteredServer;
  readonly health: ServerHealth;
  /** Set once the server has stated how long work takes there. */
  readonly load?: CandidateLoad | undefined;
  /** Set for a server that gets a request only by permit; used up by `assign`. */
  readonly permit?: ExposurePermit | undefined;
  /** Tokens of memory left with the request, if that is known. */
  readonly freeTokens?: number | undefined;
}

export interface ServerChoiceInput {
  readonly candidates: readonly ServerCandidate[];
  /** Data centre of the request or of its inputs. */
  readonly dataCentre: DataCentreName;
  /** Identifies the cached prefix of the prompt, if there is one. */
  readonly prefixKey: string | undefined;
  /** Requests per second that this VM may send to one cold server. */
  readonly coldQuota: number;
  readonly nowMs: number;
  /** Returns a number of at least 0 and less than 1. */
  readonly random?: () => number;
  /**
   * Set for engines that crash for lack of memory: all engines that a prefix may
   * have been cached at, including those that are full, failing or crashed.
   */
  readonly allEngines?: readonly BackendServerId[] | undefined;
}

/**
 * A prefix is sent to another engine when the cost of its own engine exceeds
 * the lowest cost by more than this, in requests in flight.
 */
const PREFIX_AFFINITY_MARGIN = 6;
/** Cost of one recent failure or of a cold server, in requests in flight. */
const FAILURE_COST = 4;
/** Cost of a server in another data centre, in requests in flight. */
const REMOTE_DATA_CENTRE_COST = 1.5;
/** Cost of a suspended or silent server, in requests in flight. */
const AVOIDANCE_COST = 100;
/** Servers with at least this failure score are used only as a last resort. */
const UNHEALTHY_FAILURE_SCORE = 1.2;
/**
 * Servers that state their load are about equally good if their costs differ by
 * at most this, in requests in flight. In simulations of 6 to 400 VMs, 0.25
 * served more requests on time than 0.5, 1, 1.4 and 2.5.
 */
const EQUAL_COST_MARGIN = 0.25;

/** Engines over which the load of an engine that can't be had is spread. */
const SPREAD_FRACTION = 1 / 3;
const MIN_SPREAD_ENGINES = 4;

/**
 * Returns the best server, or undefined if none can take a request.
 *
 * @example
 * ```ts
 * const choice = chooseServer({ candidates, dataCentre, prefixKey, … });
 * ```
 */
export function chooseServer(
  input: ServerChoiceInput,
): ServerCandidate | undefined {
  const available = input.candidates.filter((candidate) =>
    hasColdQuota(input, candidate)
  );
  const healthy = available.filter((candidate) => isHealthy(input, candidate));
  const usable = healthy.length > 0 ? healthy : available;
  if (input.prefixKey === undefined) return findLeastLoaded(input, usable);
  return chooseByPrefix(input, input.prefixKey, usable);
}

function hasColdQuota(
  input: ServerChoiceInput,
  candidate: ServerCandidate,
): boolean {
  const { server, health } = candidate;
  if (input.nowMs >= server.coldUntilMs) return true;
  return health.coldRequestsInWindow(input.nowMs) < input.coldQuota;
}

function isHealthy(
  input: ServerChoiceInput,
  { health }: ServerCandidate,
): boolean {
  return !health.isSuspended(input.nowMs) && !health.isSilent(input.nowMs) &&
    health.failureScore(input.nowMs) < UNHEALTHY_FAILURE_SCORE;
}

function findLeastLoaded(
  input: ServerChoiceInput,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
  const choosesAtRandom = input.allEngines !== undefined ||
    candidates.some(({ load }) => load !== undefined);
  if (choosesAtRandom) return chooseAmongEqual(input, candidates);
  let best: ServerCandidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(input, candidate);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

function costOf(
  input: ServerChoiceInput,
  { server, health, load }: ServerCandidate,
): number {
  const distanceCost = server.dataCentre === input.dataCentre
    ? 0
    : REMOTE_DATA_CENTRE_COST;
  const failureCost = health.failureScore(input.nowMs) * FAILURE_COST;
  const isAvoided = health.isSuspended(input.nowMs) ||
    health.isSilent(input.nowMs);
  const isCold = input.nowMs < server.coldUntilMs;
  return loadCostOf({ server, health, load }) + distanceCost + failureCost +
    (isAvoided ? AVOIDANCE_COST : 0) + (isCold ? FAILURE_COST : 0);
}

/** Load times slowness; the same as without statements at nominal speed. */
function loadCostOf({ health, load }: ServerCandidate): number {
  if (load === undefined) return health.inFlight;
  return (health.inFlight + load.othersLoad + 1) * load.slowness - 1;
}

/** Chooses at random among about equally good servers, the faster ones more often. */
function chooseAmongEqual(
  input: ServerChoiceInput,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
  const costs = candidates.map((candidate) => costOf(input, candidate));
  const limit = Math.min(...costs) + EQUAL_COST_MARGIN;
  const equal = candidates.filter((_, index) => (costs[index] ?? 0) <= limit);
  return chooseWeighted(input, equal, ({ load }) => speedOf(load));
}

function speedOf(load: CandidateLoad | undefined): number {
  return 1 / (load?.slowness ?? 1);
}

/**
 * Prefers the engine that ranks first for the prefix, regardless of its data
 * centre: processing a prompt again costs far more than sending it to another
 * data centre.
 */
function chooseByPrefix(
  input: ServerChoiceInput,
  prefixKey: string,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
  const leastLoaded = findLeastLoaded(input, candidates);
  if (leastLoaded === undefined) return undefined;
  const [preferredId] = rankByRendezvous(
    prefixKey,
    input.allEngines ?? candidates.map(({ server }) => server.id),
  );
  const preferred = candidates.find(({ server }) => server.id === preferredId);
  if (preferred === undefined) {
    return spreadByRank(input, prefixKey, candidates);
  }
  const excess = costOf(input, preferred) - costOf(input, leastLoaded);
  return excess > PREFIX_AFFINITY_MARGIN ? leastLoaded : preferred;
}

/**
 * Spreads the load of an engine that can't be had over many others, by their
 * free memory. The next one in rank could crash from it like the first, as
 * every VM would choose it.
 */
function spreadByRank(
  input: ServerChoiceInput,
  prefixKey: string,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
  const count = Math.max(
    MIN_SPREAD_ENGINES,
    Math.ceil(candidates.length * SPREAD_FRACTION),
  );
  const ranked = rankByRendezvous(
    prefixKey,
    candidates.map(({ server }) => server.id),
  ).slice(0, count);
  const nearest = candidates.filter(({ server }) => ranked.includes(server.id));
  return chooseWeighted(
    input,
    nearest,
    ({ freeTokens }) => Math.max(1, freeTokens ?? 1),
  );
}

function chooseWeighted(
  input: ServerChoiceInput,
  candidates: readonly ServerCandidate[],
  weightOf: (candidate: ServerCandidate) => number,
): ServerCandidate | undefined {
  const random = input.random ?? Math.random;
  const total = candidates.reduce(
    (sum, candidate) => sum + weightOf(candidate),
    0,
  );
  let left = random() * total;
  for (const candidate of candidates) {
    left -= weightOf(candidate);
    if (left < 0) return candidate;
  }
  return candidates.at(-1);
}
