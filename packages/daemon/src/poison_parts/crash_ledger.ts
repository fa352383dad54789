/**
 * The crashes of server processes that any VM has reported.
 *
 * @module
 */

import type {
  BackendServerId,
  PromptPartId,
} from "@sassafrasstage/protocol/ids";
import type { CrashReport } from "@sassafrasstage/protocol/poison_parts";
import { compareText } from "../peers/rendezvous.js";

/** Requests with a rare part may be minutes apart. */
export const CRASH_RETENTION_MS = 600_000;
const MAX_CRASHES = 256;
const MAX_PARTS_PER_CRASH = 256;

export interface Crash {
  readonly server: BackendServerId;
  readonly startedAt: number | undefined;
  /** The earliest time that a VM reported. */
  readonly atMs: number;
  /** When this VM learned of it. */
  readonly knownAtMs: number;
  /** Parts of calls that any VM had in flight. */
  readonly parts: ReadonlySet<PromptPartId>;
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
  #lastAccusedMs: Map<PromptPartId, number> | undefined;

  get size(): number {
    return this.#crashes.size;
  }

  all(): Crash[] {
    return [...this.#crashes.values()];
  }

  get(report: CrashReport): Crash | undefined {
    return this.#crashes.get(processKey(report.server, report.startedAt));
  }

  lastAccusedMs(): ReadonlyMap<PromptPartId, number> {
    this.#lastAccusedMs ??= findLastAccused(this.#crashes.values());
    return this.#lastAccusedMs;
  }

  /** Returns the parts that the known reports of the crash didn't name. */
  merge(report: CrashReport, nowMs: number): PromptPartId[] {
    const atMs = nowMs - report.ageMs;
    if (report.ageMs >= CRASH_RETENTION_MS) return [];
    const known = this.get(report);
    const newParts = report.parts.filter((part) =>
      known?.parts.has(part) !== true
    );
    if (newParts.length === 0 && (known === undefined || known.atMs <= atMs)) {
      return [];
    }
    this.#crashes.set(processKey(report.server, report.startedAt), {
      server: report.server,
      startedAt: report.startedAt,
      atMs: Math.min(atMs, known?.atMs ?? atMs),
      knownAtMs: known?.knownAtMs ?? nowMs,
      parts: limitParts([...known?.parts ?? [], ...newParts]),
    });
    this.#lastAccusedMs = undefined;
    if (this.#crashes.size > MAX_CRASHES) this.#dropOldest();
    return newParts;
  }

  dropExpired(nowMs: number): void {
    for (const [key, crash] of this.#crashes) {
      if (nowMs - crash.atMs < CRASH_RETENTION_MS) continue;
      this.#crashes.delete(key);
      this.#lastAccusedMs = undefined;
    }
  }

  #dropOldest(): void {
    const [oldest] = [...this.#crashes]
      .sort(([, a], [, b]) => a.atMs - b.atMs);
    if (oldest !== undefined) this.#crashes.delete(oldest[0]);
  }
}

/** Chooses the same parts on every VM, in whatever order they were reported. */
function limitParts(parts: readonly PromptPartId[]): Set<PromptPartId> {
  if (parts.length <= MAX_PARTS_PER_CRASH) return new Set(parts);
  return new Set([...parts].sort(compareText).slice(0, MAX_PARTS_PER_CRASH));
}

function findLastAccused(
  crashes: Iterable<Crash>,
): Map<PromptPartId, number> {
  const lastAccusedMs = new Map<PromptPartId, number>();
  for (const { atMs, parts } of crashes) {
    for (const part of parts) {
      lastAccusedMs.set(part, Math.max(atMs, lastAccusedMs.get(part) ?? atMs));
    }
  }
  return lastAccusedMs;
}
