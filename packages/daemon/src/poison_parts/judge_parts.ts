/**
 * Decides from the crashes and successes which parts crash servers. All VMs that
 * know the same decide the same.
 *
 * @module
 */

import type { BackendServerId, SuspectId } from "@sassafrasstage/protocol/ids";
import { compareText } from "../peers/rendezvous.js";
import { type Accusation, type Crash, isSameTime } from "./crash_ledger.js";
import { SUCCESS_VALIDITY_MS } from "./part_successes.js";
import { isRequestSuspect } from "./request_suspect.js";

/** Crashes after which a part is blocked. */
interface Threshold {
  readonly crashes: number;
  /** Crashes within this time count once, as they may have one other cause. */
  readonly spacingMs: number;
}

const UNKNOWN_PART_THRESHOLD: Threshold = { crashes: 3, spacingMs: 100 };
/** Few requests are in flight at several servers at the same time. */
const UNKNOWN_REQUEST_THRESHOLD: Threshold = { crashes: 3, spacingMs: 0 };
/** Every crash accuses the parts that many requests share. */
const SOUND_PART_THRESHOLD: Threshold = { crashes: 5, spacingMs: 500 };

export interface PartEvidence {
  readonly crashes: readonly Crash[];
  /** Undefined if no success is known. */
  readonly lastSuccessMs: (part: SuspectId) => number | undefined;
  /** Crashes up to this time don't count against the part. */
  readonly countsFromMs: (part: SuspectId) => number;
  /** Crashes that accuse these parts are explained by them. */
  readonly blocked: ReadonlySet<SuspectId>;
}

/** A crash that counts against a part. */
export interface CountedCrash extends Accusation {
  readonly server: BackendServerId;
}

/** A part that is to be blocked. */
export interface Verdict {
  readonly part: SuspectId;
  /** Since the last success, in the order of time. */
  readonly crashes: readonly CountedCrash[];
  readonly lastSuccessMs: number | undefined;
}

interface Suspicion extends Verdict {
  /** Requests with the part ran shortly before its crashes. */
  readonly wasSound: boolean;
  /** Number of crashes, those close to each other counted once. */
  readonly count: number;
}

/**
 * Finds the parts to be blocked, the most suspicious one first. The crashes that
 * one part explains don't count against others, so that a part isn't blocked
 * because requests have it together with the one that crashes servers.
 *
 * @example
 * ```ts
 * for (const { part } of judgeParts(evidence)) block(part);
 * ```
 */
export function judgeParts(evidence: PartEvidence): Verdict[] {
  const verdicts: Verdict[] = [];
  const explaining = new Set(evidence.blocked);
  for (;;) {
    const worst = findMostSuspicious(evidence, explaining);
    if (worst.length === 0) return verdicts;
    for (const { part, crashes, lastSuccessMs } of worst) {
      verdicts.push({ part, crashes, lastSuccessMs });
      explaining.add(part);
    }
  }
}

/** Returns all parts that nothing tells apart. */
function findMostSuspicious(
  evidence: PartEvidence,
  explaining: ReadonlySet<SuspectId>,
): Suspicion[] {
  const suspicions = [...countCrashes(evidence, explaining)]
    .map(([part, counted]) =>
      toSuspicion(part, counted, evidence.lastSuccessMs(part))
    )
    .filter(meetsThreshold)
    .sort((a, b) => compareSuspicion(a, b) || compareText(a.part, b.part));
  const [first] = suspicions;
  if (first === undefined) return [];
  return suspicions.filter((other) => compareSuspicion(first, other) === 0);
}

function countCrashes(
  evidence: PartEvidence,
  explaining: ReadonlySet<SuspectId>,
): Map<SuspectId, CountedCrash[]> {
  const byPart = new Map<SuspectId, CountedCrash[]>();
  for (const crash of evidence.crashes) {
    const explanations = findExplanations(crash, explaining, evidence);
    for (const [part, accusation] of crash.accusations) {
      const { atMs } = accusation;
      if (atMs <= evidence.countsFromMs(part)) continue;
      if (explanations.some((other) => isSameTime(atMs, other))) continue;
      const counted = { ...accusation, server: crash.server };
      const crashes = byPart.get(part);
      if (crashes === undefined) byPart.set(part, [counted]);
      else crashes.push(counted);
    }
  }
  return byPart;
}

/** Accusations of the crash that count against parts that are blocked. */
function findExplanations(
  crash: Crash,
  explaining: ReadonlySet<SuspectId>,
  evidence: PartEvidence,
): Accusation[] {
  return [...explaining].flatMap((part) => {
    const accusation = crash.accusations.get(part);
    if (accusation === undefined) return [];
    return accusation.atMs > evidence.countsFromMs(part) ? [accusation] : [];
  });
}

function toSuspicion(
  part: SuspectId,
  counted: readonly CountedCrash[],
  lastSuccessMs: number | undefined,
): Suspicion {
  const crashes = counted.toSorted((a, b) => a.atMs - b.atMs);
  const firstAtMs = crashes[0]?.atMs ?? 0;
  const wasSound = lastSuccessMs !== undefined &&
    firstAtMs - lastSuccessMs <= SUCCESS_VALIDITY_MS;
  const { spacingMs } = thresholdOf({ part, wasSound });
  const count = countSpaced(crashes, spacingMs);
  return { part, crashes, lastSuccessMs, wasSound, count };
}

function thresholdOf(
  { part, wasSound }: Pick<Suspicion, "part" | "wasSound">,
): Threshold {
  if (wasSound) return SOUND_PART_THRESHOLD;
  return isRequestSuspect(part)
    ? UNKNOWN_REQUEST_THRESHOLD
    : UNKNOWN_PART_THRESHOLD;
}

function countSpaced(
  crashes: readonly CountedCrash[],
  spacingMs: number,
): number {
  let count = 0;
  let countedAtMs = Number.NEGATIVE_INFINITY;
  for (const { atMs } of crashes) {
    if (atMs - countedAtMs < spacingMs) continue;
    countedAtMs = atMs;
    count += 1;
  }
  return count;
}

function meetsThreshold(suspicion: Suspicion): boolean {
  return suspicion.count >= thresholdOf(suspicion).crashes;
}

/** Negative if the first is more suspicious. */
function compareSuspicion(a: Suspicion, b: Suspicion): number {
  if (a.wasSound !== b.wasSound) return a.wasSound ? 1 : -1;
  const byCrashes = b.crashes.length - a.crashes.length;
  if (byCrashes !== 0) return byCrashes;
  // A whole request explains the crashes without accusing others.
  const byKind = Number(isRequestSuspect(b.part)) -
    Number(isRequestSuspect(a.part));
  if (byKind !== 0 || !a.wasSound) return byKind;
  return (a.lastSuccessMs ?? 0) - (b.lastSuccessMs ?? 0);
}
