/**
 * Canary analysis: compares the candidate of a rollout with the current version
 * that runs beside it.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import {
  addBad,
  type BadCount,
  countBad,
  FAULT_KINDS,
  type FaultKind,
  NOTHING,
} from "./bad_counts.js";
import { CurrentRates } from "./current_rates.js";
import { FaultEvidence } from "./fault_evidence.js";
import { findMissRisk } from "./fault_exclusion.js";
import { type CallCounts, subtractCounts } from "./rollout_observations.js";

export type CandidateVerdict = {
  kind: "undecided" | "sound" | "faulty";
  reason: string;
  /** Responses of the candidate that were compared. */
  samples: number;
  /** Failures and slow responses among them, without those of `badServer`. */
  bad: number;
  /** Server to which bad responses are attributed, not to the version. */
  badServer?: BackendServerId;
  /** Likelihood ratio of a faulty version against a sound one. */
  faultRatio?: number;
  /**
   * Probability at which a version with a fifth of bad responses on some route
   * would show as few as were seen.
   */
  missRisk?: number;
};

export interface JudgeOptions {
  /**
   * The part of the counts that was counted lately, which reveals faults that
   * started later. Not used if there are `slices`.
   */
  readonly recent?: readonly CallCounts[];
  /**
   * The counts by slices of time, oldest first, so that the candidate is
   * compared with the current version at the same time; see `EvidenceWindow`.
   */
  readonly slices?: readonly (readonly CallCounts[])[];
  /** Duration of the recent counts or of the last `RECENT_SLICES` slices. */
  readonly recentMs?: number;
}

/** Slices that count as recent. */
export const RECENT_SLICES = 3;
/** A sound version reaches this ratio with a probability of 1/200 at most. */
const FAULTY_RATIO = 200;
/**
 * For the recent counts, whose start moves: about five independent periods fit
 * into a rollout, so that this corresponds to `FAULTY_RATIO`.
 */
const RECENT_FAULTY_RATIO = 1000;
/** Recent evidence for a fault at which a version isn't called sound. */
const RECENT_DOUBT_RATIO = 1.5;
/**
 * Miss risk of a sound verdict. It is that of the worst case, a fifth of bad
 * responses on one route only; over versions with a fifth or more, it is under
 * 1 in 100. With 0.01 here, 14 in 100 sound versions lacked samples.
 */
const MAX_MISS_RISK = 0.03;
/**
 * The same if a server's responses are left out: which server it is was chosen
 * by the samples, which makes the others look better than they are.
 */
const MAX_MISS_RISK_WITHOUT_SERVER = 0.01;
/** Bad responses that lead to a rollback whatever the statistics say. */
const MAX_UNEXPLAINED_BAD = 40;
/**
 * Share of the bad responses that a bad server accounts for. The rest are usual
 * slow responses of the other servers, up to a third in simulated rollouts.
 */
const BAD_SERVER_SHARE = 0.6;
/** Evidence for a fault in the responses of a bad server alone. */
const MIN_SUSPECT_RATIO = 10;
/** Samples of other servers that show that only one server is bad. */
const MIN_OTHER_SAMPLES = 10;
/**
 * While other servers have fewer samples than that, a server with this many bad
 * responses isn't waited for.
 */
const MAX_BAD_OF_ONE_SERVER = 16;

interface ServerCounts {
  readonly id: BackendServerId;
  /** Samples and bad responses of each kind; the kind with more bad counts. */
  readonly count: BadCount;
}

/**
 * Compares the candidate with the current version.
 *
 * @example
 * ```ts
 * const verdict = judgeCandidate(totals, window.split(totals, nowMs));
 * ```
 */
export function judgeCandidate(
  counts: readonly CallCounts[],
  options: JudgeOptions = {},
): CandidateVerdict {
  const { slices, recentSlice } = toSlices(counts, options);
  const rates = new CurrentRates(slices);
  const evidence = FaultEvidence.of(slices, rates);
  const recentEvidence = evidence.since(recentSlice);
  const servers = countByServer(counts, rates);
  const suspect = findSuspect(servers);
  const badServer = findBadServer(servers, suspect, [evidence, recentEvidence]);
  const considered = servers.filter(({ id }) => id !== badServer);
  const { samples, bad } = sumOf(considered);
  const faultRatio = evidence.ratioWithout(badServer);
  const recentRatio = recentEvidence.ratioWithout(badServer);
  const isFaulty = faultRatio >= FAULTY_RATIO ||
    recentRatio >= RECENT_FAULTY_RATIO;
  const facts = {
    samples,
    bad,
    faultRatio,
    ...(badServer === undefined ? {} : { badServer }),
  };

  const explained = explainedBad(slices, rates, badServer);
  if (bad - explained >= MAX_UNEXPLAINED_BAD) {
    return { kind: "faulty", reason: "too many bad responses", ...facts };
  }
  if (isFaulty && needsOtherServers(servers, suspect)) {
    return { kind: "undecided", reason: "one server only", ...facts };
  }
  if (isFaulty) {
    const isRecent = faultRatio < FAULTY_RATIO;
    const reason = isRecent ? "recent bad responses" : "bad responses";
    return { kind: "faulty", reason, ...facts };
  }
  const { probability: missRisk, route } = findMissRisk({
    slices,
    rates,
    recentMs: options.recentMs ?? 0,
    recentSlice,
    withoutServer: badServer,
  });
  if (samples === 0) {
    return { kind: "undecided", reason: "no samples", ...facts, missRisk };
  }
  if (faultRatio >= 1 || recentRatio >= RECENT_DOUBT_RATIO) {
    return { kind: "undecided", reason: "in doubt", ...facts, missRisk };
  }
  const maxMissRisk = badServer === undefined
    ? MAX_MISS_RISK
    : MAX_MISS_RISK_WITHOUT_SERVER;
  if (missRisk > maxMissRisk) {
    const reason = `few samples on route ${route ?? "of any name"}`;
    return { kind: "undecided", reason, ...facts, missRisk };
  }
  return { kind: "sound", reason: "as current version", ...facts, missRisk };
}

function toSlices(
  counts: readonly CallCounts[],
  { recent, slices }: JudgeOptions,
): { slices: readonly (readonly CallCounts[])[]; recentSlice: number } {
  if (slices !== undefined) {
    return { slices, recentSlice: Math.max(0, slices.length - RECENT_SLICES) };
  }
  if (recent === undefined) return { slices: [counts], recentSlice: 0 };
  return { slices: [subtractCounts(counts, recent), recent], recentSlice: 1 };
}

function countByServer(
  counts: readonly CallCounts[],
  rates: CurrentRates,
): ServerCounts[] {
  const servers = new Map<BackendServerId, Record<FaultKind, BadCount>>();
  for (const item of counts) {
    if (item.server === undefined || item.side === "current") continue;
    const thresholds = rates.thresholdsOf(item.route);
    const former = servers.get(item.server);
    const [failures, responses, pauses] = FAULT_KINDS.map((kind) =>
      addBad(former?.[kind] ?? NOTHING, countBad(item, kind, thresholds))
    );
    servers.set(item.server, {
      failures: failures ?? NOTHING,
      responses: responses ?? NOTHING,
      pauses: pauses ?? NOTHING,
    });
  }
  return [...servers].map(([id, { failures, responses, pauses }]) => ({
    id,
    count: {
      samples: Math.max(failures.samples, responses.samples),
      bad: Math.max(failures.bad, responses.bad, pauses.bad),
    },
  }));
}

function sumOf(servers: readonly ServerCounts[]): BadCount {
  let samples = 0;
  let bad = 0;
  for (const { count } of servers) {
    samples += count.samples;
    bad += count.bad;
  }
  return { samples, bad };
}

/** The server that accounts for most bad responses, if one does. */
function findSuspect(
  servers: readonly ServerCounts[],
): ServerCounts | undefined {
  const { bad } = sumOf(servers);
  if (bad === 0) return undefined;
  return servers.find(({ count }) => count.bad >= bad * BAD_SERVER_SHARE);
}

/** The suspect, if the other servers show that the version is sound. */
function findBadServer(
  servers: readonly ServerCounts[],
  suspect: ServerCounts | undefined,
  evidence: readonly FaultEvidence[],
): BackendServerId | undefined {
  if (suspect === undefined) return undefined;
  if (evidence.every((part) => part.ratioOf(suspect.id) < MIN_SUSPECT_RATIO)) {
    return undefined;
  }
  const others = sumOf(servers.filter((server) => server !== suspect));
  if (others.samples < MIN_OTHER_SAMPLES) return undefined;
  const isExplained = evidence.every((part) =>
    part.ratioWithout(suspect.id) <= 1
  );
  return isExplained ? suspect.id : undefined;
}

/** Whether it can't be told yet if the server is bad or the version. */
function needsOtherServers(
  servers: readonly ServerCounts[],
  suspect: ServerCounts | undefined,
): boolean {
  if (suspect === undefined || servers.length < 2) return false;
  const others = sumOf(servers.filter((server) => server !== suspect));
  return others.samples < MIN_OTHER_SAMPLES &&
    suspect.count.bad < MAX_BAD_OF_ONE_SERVER;
}

/** Bad responses that the current version would have shown, too. */
function explainedBad(
  slices: readonly (readonly CallCounts[])[],
  rates: CurrentRates,
  withoutServer: string | undefined,
): number {
  let explained = 0;
  for (const [index, slice] of slices.entries()) {
    for (const counts of slice) {
      if (counts.side === "current") continue;
      if (withoutServer !== undefined && counts.server === withoutServer) {
        continue;
      }
      const thresholds = rates.thresholdsOf(counts.route);
      const { samples } = countBad(counts, "responses", thresholds);
      explained += samples * rates.explainedRate(counts, "responses", index);
    }
  }
  return explained;
}
