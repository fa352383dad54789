/**
 * Collects the news of prompt parts that other VMs have to be told of.
 *
 * @module
 */

import type { PromptPartId } from "@sassafrasstage/protocol/ids";
import type {
  CrashReport,
  PartSuccess,
  PoisonPartNews,
} from "@sassafrasstage/protocol/poison_parts";
import { type Crash, type CrashLedger, processKey } from "./crash_ledger.js";
import { type PartSuccesses, SUCCESS_VALIDITY_MS } from "./part_successes.js";

export interface TakenNews {
  /** For the VMs that get heartbeats. */
  readonly all: PoisonPartNews;
  /** What this VM has observed itself, for other data centres. */
  readonly own: PoisonPartNews;
}

export class PartNewsOutbox {
  readonly #ledger: CrashLedger;
  readonly #successes: PartSuccesses;
  readonly #crashesHere = new Map<string, CrashReport>();
  readonly #crashesElsewhere = new Map<string, CrashReport>();
  /** Parts whose successes are told although no crash accuses them. */
  readonly #announced = new Set<PromptPartId>();
  /** The newest success of each accused part that VMs have told each other. */
  readonly #toldMs = new Map<PromptPartId, number>();

  constructor(ledger: CrashLedger, successes: PartSuccesses) {
    this.#ledger = ledger;
    this.#successes = successes;
  }

  /** @param report With the age that it has now */
  addCrash(report: CrashReport, origin: "here" | "elsewhere"): void {
    const key = processKey(report.server, report.startedAt);
    const crashes = origin === "here"
      ? this.#crashesHere
      : this.#crashesElsewhere;
    crashes.set(key, report);
  }

  announceSuccess(part: PromptPartId): void {
    this.#announced.add(part);
  }

  /** Other VMs know the success already. */
  recordTold(part: PromptPartId, successAtMs: number): void {
    const toldMs = this.#toldMs.get(part) ?? successAtMs;
    this.#toldMs.set(part, Math.max(toldMs, successAtMs));
  }

  /** Returns and clears the collected news. */
  take(nowMs: number): TakenNews {
    const crashesHere = this.#takeCrashes(this.#crashesHere, nowMs);
    const crashesElsewhere = this.#takeCrashes(this.#crashesElsewhere, nowMs);
    const parts = this.#takeUntoldParts();
    return {
      all: {
        crashes: [...crashesHere, ...crashesElsewhere],
        successes: this.#toSuccesses(parts, nowMs),
      },
      own: {
        crashes: crashesHere,
        successes: this.#toSuccesses(
          parts.filter((part) => this.#successes.isOwn(part)),
          nowMs,
        ),
      },
    };
  }

  /** All that is known, for a VM that may know nothing. */
  describeAll(nowMs: number): PoisonPartNews {
    const accused = [...this.#ledger.lastAccusedMs().keys()];
    return {
      crashes: this.#ledger.all().map((crash) => toReport(crash, nowMs)),
      successes: this.#toSuccesses(accused, nowMs),
    };
  }

  #takeCrashes(
    crashes: Map<string, CrashReport>,
    nowMs: number,
  ): CrashReport[] {
    const reports = [...crashes.values()].map((report) => {
      const crash = this.#ledger.get(report);
      return crash === undefined
        ? report
        : { ...report, ageMs: Math.max(0, nowMs - crash.atMs) };
    });
    crashes.clear();
    return reports;
  }

  #takeUntoldParts(): PromptPartId[] {
    const accused = this.#ledger.lastAccusedMs();
    const untold = [...accused]
      .filter(([part, crashAtMs]) => this.#isUntold(part, crashAtMs))
      .map(([part]) => part);
    const parts = [...new Set([...untold, ...this.#announced])];
    this.#announced.clear();
    for (const part of parts) {
      const successAtMs = this.#successes.lastMs(part);
      if (successAtMs !== undefined) this.recordTold(part, successAtMs);
    }
    for (const part of this.#toldMs.keys()) {
      if (!accused.has(part)) this.#toldMs.delete(part);
    }
    return parts;
  }

  #isUntold(part: PromptPartId, crashAtMs: number): boolean {
    const successAtMs = this.#successes.lastMs(part);
    if (successAtMs === undefined) return false;
    if (crashAtMs - successAtMs > SUCCESS_VALIDITY_MS) return false;
    const toldMs = this.#toldMs.get(part);
    return toldMs === undefined ||
      (toldMs <= crashAtMs && successAtMs > toldMs);
  }

  #toSuccesses(parts: readonly PromptPartId[], nowMs: number): PartSuccess[] {
    return parts.flatMap((part) => {
      const atMs = this.#successes.lastMs(part);
      return atMs === undefined
        ? []
        : [{ part, ageMs: Math.max(0, nowMs - atMs) }];
    });
  }
}

function toReport(crash: Crash, nowMs: number): CrashReport {
  return {
    server: crash.server,
    startedAt: crash.startedAt,
    ageMs: Math.max(0, nowMs - crash.atMs),
    parts: [...crash.parts],
  };
}
