/**
 * Decides from the crashes and successes which parts crash servers. All VMs that
 * know the same decide the same.
 *
 * @module
 */

import type { PromptPartId } from "@sassafrasstage/protocol/ids";
import { compareText } from "../peers/rendezvous.js";
import type { Crash } from "./crash_ledger.js";
import { SUCCESS_VALIDITY_MS } from "./part_successes.js";

/** Crashes after which a part is blocked. */
interface Threshold {
  readonly crashes: number;
  /** Crashes within this time count once, as they may have one other cause. */
  readonly spacingMs: number;
}

const UNKNOWN_PART_THRESHOLD: Threshold = { crashes: 3, spacingMs: 100 };
/** Every crash accuses the parts that many requests share. */
const SOUND_PART_THRESHOLD: Threshold = { crashes: 5, spacingMs: 500 };

export interface PartEvidence {
  readonly crashes: readonly Crash[];
  /** Undefined if no success is known. */
  readonly lastSuccessMs: (part: PromptPartId) => number | undefined;
  /** Crashes up to this time don't count against the part. */
  readonly countsFromMs: (part: PromptPartId) => number;
  /** Crashes that accuse these parts are explained by them. */
  readonly blocked: ReadonlySet<PromptPartId>;
}

/** A part that is to be blocked. */
export interface Verdict {
  readonly part: PromptPartId;
  /** Since the last success, in the order of time. */
  readonly crashes: readonly Crash[];
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
    const unexplained = evidence.crashes.filter((crash) =>
      !isExplained(crash, explaining, evidence)
    );
    const worst = findMostSuspicious(unexplained, evidence);
    if (worst.length === 0) return verdicts;
    for (const { part, crashes, lastSuccessMs } of worst) {
      verdicts.push({ part, crashes, lastSuccessMs });
      explaining.add(part);
    }
  }
}

function isExplained(
  crash: Crash,
  explaining: ReadonlySet<PromptPartId>,
  evidence: PartEvidence,
): boolean {
  for (const part of explaining) {
    if (crash.parts.has(part) && crash.atMs > evidence.countsFromMs(part)) {
      return true;
    }
  }
  return false;
}

/** Returns all parts that nothing tells apart. */
function findMostSuspicious(
  crashes: readonly Crash[],
  evidence: PartEvidence,
): Suspicion[] {
  const suspicions = [...groupByPart(crashes, evidence)]
    .map(([part, counted]) =>
      toSuspicion(part, counted, evidence.lastSuccessMs(part))
    )
    .filter(meetsThreshold)
    .sort((a, b) => compareSuspicion(a, b) || compareText(a.part, b.part));
  const [first] = suspicions;
  if (first === undefined) return [];
  return suspicions.filter((other) => compareSuspicion(first, other) === 0);
}

function groupByPart(
  crashes: readonly Crash[],
  evidence: PartEvidence,
): Map<PromptPartId, Crash[]> {
  const byPart = new Map<PromptPartId, Crash[]>();
  for (const crash of crashes) {
    for (const part of crash.parts) {
      if (crash.atMs <= evidence.countsFromMs(part)) continue;
      const counted = byPart.get(part);
      if (counted === undefined) byPart.set(part, [crash]);
      else counted.push(crash);
    }
  }
  return byPart;
}

function toSuspicion(
  part: PromptPartId,
  counted: readonly Crash[],
  lastSuccessMs: number | undefined,
): Suspicion {
  const crashes = counted.toSorted((a, b) => a.atMs - b.atMs);
  const firstAtMs = crashes[0]?.atMs ?? 0;
  const wasSound = lastSuccessMs !== undefined &&
    firstAtMs - lastSuccessMs <= SUCCESS_VALIDITY_MS;
  const { spacingMs } = wasSound
    ? SOUND_PART_THRESHOLD
    : UNKNOWN_PART_THRESHOLD;
  const count = countSpaced(crashes, spacingMs);
  return { part, crashes, lastSuccessMs, wasSound, count };
}

function countSpaced(crashes: readonly Crash[], spacingMs: number): number {
  let count = 0;
  let countedAtMs = Number.NEGATIVE_INFINITY;
  for (const { atMs } of crashes) {
    if (atMs - countedAtMs < spacingMs) continue;
    countedAtMs = atMs;
    count += 1;
  }
  return count;
}

function meetsThreshold({ wasSound, count }: Suspicion): boolean {
  const { crashes } = wasSound ? SOUND_PART_THRESHOLD : UNKNOWN_PART_THRESHOLD;
  return count >= crashes;
}

/** Negative if the first is more suspicious. */
function compareSuspicion(a: Suspicion, b: Suspicion): number {
  if (a.wasSound !== b.wasSound) return a.wasSound ? 1 : -1;
  const byCrashes = b.crashes.length - a.crashes.length;
  if (byCrashes !== 0 || !a.wasSound) return byCrashes;
  return (a.lastSuccessMs ?? 0) - (b.lastSuccessMs ?? 0);
}
