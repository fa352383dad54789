/**
 * The crashes of server processes that any VM has reported.
 *
 * @module
 */

import type { BackendServerId, SuspectId } from "@sassafrasstage/protocol/ids";
import type { CrashReport } from "@sassafrasstage/protocol/poison_parts";
import { compareText } from "../peers/rendezvous.js";

/** Requests with a rare part may be minutes apart. */
export const CRASH_RETENTION_MS = 600_000;
const MAX_CRASHES = 256;
const MAX_PARTS_PER_CRASH = 512;
/** VMs learn of a crash within this time of each other. */
const SAME_CRASH_MS = 2000;

export interface Accusation {
  /** The earliest time that a VM reported, of those close to each other. */
  readonly atMs: number;
  /** When this VM learned of it. */
  readonly knownAtMs: number;
}

/** The end of a server process. */
export interface Crash {
  readonly server: BackendServerId;
  readonly startedAt: number | undefined;
  /** The parts of calls that any VM had in flight. */
  readonly accusations: ReadonlyMap<SuspectId, Accusation>;
}

/**
 * Identifies a server process.
 *
 * @example
 * ```ts
 * const key = processKey(server.id, server.startedAt);
 * ```
 */
export function processKey(
  server: BackendServerId,
  startedAt: number | undefined,
): string {
  return `${server}@${startedAt ?? ""}`;
}

export class CrashLedger {
  /** By process, so that a crash counts once although many VMs report it. */
  readonly #crashes = new Map<string, Crash>();
  /** When each accused part was accused last. Undefined if out of date. */
  #lastAccusedMs: Map<SuspectId, number> | undefined;

  get size(): number {
    return this.#crashes.size;
  }

  all(): Crash[] {
    return [...this.#crashes.values()];
  }

  get(report: CrashReport): Crash | undefined {
    return this.#crashes.get(processKey(report.server, report.startedAt));
  }

  accusationsOf(part: SuspectId): Accusation[] {
    if (!this.lastAccusedMs().has(part)) return [];
    return this.all().flatMap(({ accusations }) => accusations.get(part) ?? []);
  }

  lastAccusedMs(): ReadonlyMap<SuspectId, number> {
    this.#lastAccusedMs ??= findLastAccused(this.#crashes.values());
    return this.#lastAccusedMs;
  }

  /** Returns the parts that the known reports of the crash didn't accuse. */
  merge(report: CrashReport, nowMs: number): SuspectId[] {
    const atMs = nowMs - report.ageMs;
    if (report.ageMs >= CRASH_RETENTION_MS) return [];
    const known = this.get(report)?.accusations;
    const accusations = new Map(known);
    const newParts: SuspectId[] = [];
    for (const part of report.parts) {
      const accusation = known?.get(part);
      if (accusation === undefined || isLater(atMs, accusation)) {
        newParts.push(part);
        accusations.set(part, { atMs, knownAtMs: nowMs });
      } else if (isSameTime(atMs, accusation)) {
        const earliestMs = Math.min(atMs, accusation.atMs);
        accusations.set(part, { ...accusation, atMs: earliestMs });
      }
    }
    if (accusations.size === 0) return [];
    const { server, startedAt } = report;
    this.#crashes.set(processKey(server, startedAt), {
      server,
      startedAt,
      accusations: limitParts(accusations),
    });
    this.#lastAccusedMs = undefined;
    if (this.#crashes.size > MAX_CRASHES) this.#dropOldest();
    return newParts;
  }

  dropExpired(nowMs: number): void {
    for (const [key, crash] of this.#crashes) {
      if (nowMs - lastAccusationMs(crash) < CRASH_RETENTION_MS) continue;
      this.#crashes.delete(key);
      this.#lastAccusedMs = undefined;
    }
  }

  #dropOldest(): void {
    const [oldest] = [...this.#crashes]
      .sort(([, a], [, b]) => lastAccusationMs(a) - lastAccusationMs(b));
    if (oldest !== undefined) this.#crashes.delete(oldest[0]);
  }
}

/** Whether two accusations of a process can be due to the same crash. */
export function isSameTime(atMs: number, other: Accusation): boolean {
  return Math.abs(atMs - other.atMs) <= SAME_CRASH_MS;
}

/**
 * A process ends only once, but a VM whose connections all break may take it for
 * the end of the process; the process can crash later.
 */
function isLater(atMs: number, known: Accusation): boolean {
  return atMs > known.atMs && !isSameTime(atMs, known);
}

function lastAccusationMs({ accusations }: Crash): number {
  return Math.max(...[...accusations.values()].map(({ atMs }) => atMs));
}

/** Chooses the same parts on every VM, in whatever order they were reported. */
function limitParts(
  accusations: ReadonlyMap<SuspectId, Accusation>,
): ReadonlyMap<SuspectId, Accusation> {
  if (accusations.size <= MAX_PARTS_PER_CRASH) return accusations;
  const kept = [...accusations]
    .sort(([a], [b]) => compareText(a, b))
    .slice(0, MAX_PARTS_PER_CRASH);
  return new Map(kept);
}

function findLastAccused(
  crashes: Iterable<Crash>,
): Map<SuspectId, number> {
  const lastAccusedMs = new Map<SuspectId, number>();
  for (const { accusations } of crashes) {
    for (const [part, { atMs }] of accusations) {
      lastAccusedMs.set(part, Math.max(atMs, lastAccusedMs.get(part) ?? atMs));
    }
  }
  return lastAccusedMs;
}
