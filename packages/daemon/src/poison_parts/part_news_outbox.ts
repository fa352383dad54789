/**
 * Collects the news of prompt parts that other VMs have to be told of.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";
import type {
  CrashReport,
  PartSuccess,
  PoisonPartNews,
} from "@sassafrasstage/protocol/poison_parts";
import type { Crash, CrashLedger } from "./crash_ledger.js";
import type { NewCrashReport } from "./part_evidence.js";
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
  #crashesHere: NewCrashReport[] = [];
  #crashesElsewhere: NewCrashReport[] = [];
  /** Parts whose successes are told although no crash accuses them. */
  readonly #announced = new Set<SuspectId>();
  /** The newest success of each accused part that VMs have told each other. */
  readonly #toldMs = new Map<SuspectId, number>();

  constructor(ledger: CrashLedger, successes: PartSuccesses) {
    this.#ledger = ledger;
    this.#successes = successes;
  }

  addCrash(crash: NewCrashReport, origin: "here" | "elsewhere"): void {
    if (origin === "here") this.#crashesHere.push(crash);
    else this.#crashesElsewhere.push(crash);
  }

  announceSuccess(part: SuspectId): void {
    this.#announced.add(part);
  }

  /** Other VMs know the success already. */
  recordTold(part: SuspectId, successAtMs: number): void {
    const toldMs = this.#toldMs.get(part) ?? successAtMs;
    this.#toldMs.set(part, Math.max(toldMs, successAtMs));
  }

  /** Returns and clears the collected news. */
  take(nowMs: number): TakenNews {
    const crashesHere = toReports(this.#crashesHere, nowMs);
    const crashesElsewhere = toReports(this.#crashesElsewhere, nowMs);
    this.#crashesHere = [];
    this.#crashesElsewhere = [];
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
      crashes: this.#ledger.all().flatMap((crash) =>
        describeCrash(crash, nowMs)
      ),
      successes: this.#toSuccesses(accused, nowMs),
    };
  }

  #takeUntoldParts(): SuspectId[] {
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

  #isUntold(part: SuspectId, crashAtMs: number): boolean {
    const successAtMs = this.#successes.lastMs(part);
    if (successAtMs === undefined) return false;
    if (crashAtMs - successAtMs > SUCCESS_VALIDITY_MS) return false;
    const toldMs = this.#toldMs.get(part);
    return toldMs === undefined ||
      (toldMs <= crashAtMs && successAtMs > toldMs);
  }

  #toSuccesses(parts: readonly SuspectId[], nowMs: number): PartSuccess[] {
    return parts.flatMap((part) => {
      const atMs = this.#successes.lastMs(part);
      return atMs === undefined
        ? []
        : [{ part, ageMs: Math.max(0, nowMs - atMs) }];
    });
  }
}

function toReports(
  crashes: readonly NewCrashReport[],
  nowMs: number,
): CrashReport[] {
  return crashes.map(({ report, atMs }) => ({
    ...report,
    ageMs: Math.max(0, nowMs - atMs),
  }));
}

/** Returns one report for each time at which parts were accused. */
function describeCrash(crash: Crash, nowMs: number): CrashReport[] {
  const { server, startedAt, accusations } = crash;
  const partsByTime = new Map<number, SuspectId[]>();
  for (const [part, { atMs }] of accusations) {
    const parts = partsByTime.get(atMs);
    if (parts === undefined) partsByTime.set(atMs, [part]);
    else parts.push(part);
  }
  return [...partsByTime].map(([atMs, parts]) => ({
    server,
    startedAt,
    ageMs: Math.max(0, nowMs - atMs),
    parts,
  }));
}
