/**
 * The crashes and successes of prompt parts that this VM knows.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";
import type { CrashReport } from "@sassafrasstage/protocol/poison_parts";
import { CRASH_RETENTION_MS, CrashLedger } from "./crash_ledger.js";
import type { PartEvidence } from "./judge_parts.js";
import { PartSuccesses } from "./part_successes.js";

/** A report of a crash, without what was known before. */
export interface NewCrashReport {
  readonly report: CrashReport;
  readonly atMs: number;
}

export class KnownEvidence {
  readonly ledger = new CrashLedger();
  readonly successes = new PartSuccesses();
  /** When a block of the part ended without a success that is known here. */
  readonly #clearedAtMs = new Map<SuspectId, number>();

  /** Returns undefined if nothing about the crash is new. */
  addCrash(report: CrashReport, nowMs: number): NewCrashReport | undefined {
    const parts = this.ledger.merge(report, nowMs);
    if (parts.length === 0) return undefined;
    return { report: { ...report, parts }, atMs: nowMs - report.ageMs };
  }

  /** Crashes that count against the part. */
  crashCount(part: SuspectId): number {
    const countsFromMs = this.#countsFromMs(part);
    return this.ledger.accusationsOf(part)
      .filter(({ atMs }) => atMs > countsFromMs).length;
  }

  /** Crashes up to now no longer count against the part. */
  clear(part: SuspectId, nowMs: number): void {
    this.#clearedAtMs.set(part, nowMs);
  }

  dropExpired(nowMs: number): void {
    this.ledger.dropExpired(nowMs);
    this.successes.dropExpired(this.ledger.lastAccusedMs(), nowMs);
    for (const [part, clearedAtMs] of this.#clearedAtMs) {
      if (nowMs - clearedAtMs < CRASH_RETENTION_MS) continue;
      this.#clearedAtMs.delete(part);
    }
  }

  /** @param blocked Parts that explain crashes already */
  toEvidence(blocked: ReadonlySet<SuspectId>): PartEvidence {
    return {
      crashes: this.ledger.all(),
      lastSuccessMs: (part) => this.successes.lastMs(part),
      countsFromMs: (part) => this.#countsFromMs(part),
      blocked,
    };
  }

  #countsFromMs(part: SuspectId): number {
    return Math.max(
      this.successes.lastMs(part) ?? Number.NEGATIVE_INFINITY,
      this.#clearedAtMs.get(part) ?? Number.NEGATIVE_INFINITY,
    );
  }
}
