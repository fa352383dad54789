/**
 * Chooses the backend server for one request.
 *
 * Load patterns: plain services with a tight objective and few slots (least
 * loaded, near, sound ones first); engines that cache prompt prefixes (the
 * same prefix to the same engine, unless that one has far more to do than the
 * others); servers that come back cold and bear few requests a second.
 *
 * @module
 */

import type { DataCentreName } from "@sassafrasstage/protocol/ids";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { ServerHealth } from "./server_health.js";

export interface ServerCandidate {
  readonly server: RegisteredServer;
  readonly health: ServerHealth;
}

export interface ServerChoiceInput {
  readonly candidates: readonly ServerCandidate[];
  /** Where the request or its inputs are. */
  readonly dataCentre: DataCentreName;
  /** Names the cached part of the prompt, where there is one. */
  readonly prefixKey: string | undefined;
  /** Requests a second that this VM may send to a cold server. */
  readonly coldQuota: number;
  readonly nowMs: number;
}

/** A prefix leaves its engine when that has this many more in flight. */
const AFFINITY_EXCESS = 6;
/** One recent failure weighs like so many requests in flight. */
const FAILURE_WEIGHT = 4;
/** Another data centre weighs like so many requests in flight. */
const CROSSING_WEIGHT = 1.5;
/** Servers with a worse score of failures are chosen last. */
const UNSOUND_FROM = 1.2;

/**
 * The best server, or undefined when none can take a request.
 *
 * @example
 * ```ts
 * const choice = chooseServer({ candidates, dataCentre, prefixKey, … });
 * ```
 */
export function chooseServer(
  input: ServerChoiceInput,
): ServerCandidate | undefined {
  const open = input.candidates.filter((candidate) =>
    hasColdQuota(input, candidate)
  );
  const sound = open.filter((candidate) => isSound(input, candidate));
  const usable = sound.length > 0 ? sound : open;
  if (input.prefixKey === undefined) return leastLoaded(input, usable);
  return byPrefix(input, input.prefixKey, usable);
}

function hasColdQuota(
  input: ServerChoiceInput,
  candidate: ServerCandidate,
): boolean {
  const { server, health } = candidate;
  if (input.nowMs >= server.coldUntilMs) return true;
  return health.coldStartsInWindow(input.nowMs) < input.coldQuota;
}

function isSound(
  input: ServerChoiceInput,
  { health }: ServerCandidate,
): boolean {
  return !health.isSuspended(input.nowMs) &&
    health.failureScore(input.nowMs) < UNSOUND_FROM;
}

function leastLoaded(
  input: ServerChoiceInput,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
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
  { server, health }: ServerCandidate,
): number {
  const crossing = server.dataCentre === input.dataCentre ? 0 : CROSSING_WEIGHT;
  const failures = health.failureScore(input.nowMs) * FAILURE_WEIGHT;
  const suspension = health.isSuspended(input.nowMs) ? 100 : 0;
  const isCold = input.nowMs < server.coldUntilMs;
  return health.inFlight + crossing + failures + suspension +
    (isCold ? FAILURE_WEIGHT : 0);
}

/**
 * The engine that ranks first for the prefix, wherever it is: reading a prompt
 * again costs far more than carrying it to another data centre.
 */
function byPrefix(
  input: ServerChoiceInput,
  prefixKey: string,
  candidates: readonly ServerCandidate[],
): ServerCandidate | undefined {
  const least = leastLoaded(input, candidates);
  if (least === undefined) return undefined;
  const [preferredId] = rankByRendezvous(
    prefixKey,
    candidates.map(({ server }) => server.id),
  );
  const preferred = candidates.find(({ server }) => server.id === preferredId);
  if (preferred === undefined) return least;
  const excess = costOf(input, preferred) - costOf(input, least);
  return excess > AFFINITY_EXCESS ? least : preferred;
}
