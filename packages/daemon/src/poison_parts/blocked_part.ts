/**
 * A blocked part, and when requests with it are let through to find out whether
 * it still crashes servers.
 *
 * @module
 */

import type { AttemptId, SuspectId } from "@sassafrasstage/protocol/ids";
import type { PartBlock } from "./part_blocks.js";
import { isRequestSuspect } from "./request_suspect.js";

/**
 * Time from the last crash to the next probe, by the number of failed probes.
 * Each failed probe costs a server, so there are two soon, for a part that was
 * blocked wrongly, and few later.
 */
const PROBE_WAITS_MS = [10_000, 30_000] as const;
/** A whole request that was blocked wrongly keeps no other from being served. */
const REQUEST_PROBE_WAITS_MS = [30_000] as const;
const LONGEST_PROBE_WAIT_MS = 600_000;
/** Crashes sooner after the last one were under requests already in flight. */
const MIN_PROBE_CRASH_GAP_MS = 5000;
/** Between probes that end without evidence. */
const PROBE_INTERVAL_MS = 1000;
/** Time for an admitted probe to be sent. */
const PROBE_SEND_TIMEOUT_MS = 2000;
/** A block that refuses no request for this long ends. */
const UNUSED_BLOCK_RETENTION_MS = 600_000;
const MIN_RETRY_AFTER_MS = 1000;

interface Probe {
  readonly request: AttemptId;
  readonly admittedAtMs: number;
  isSent: boolean;
}

export class BlockedPart {
  readonly part: SuspectId;
  readonly blockedAtMs: number;
  #crashes: number;
  #failedProbes: number;
  #lastCrashAtMs: number;
  #lastRefusalAtMs = Number.NEGATIVE_INFINITY;
  #lastProbeAtMs = Number.NEGATIVE_INFINITY;
  #probe: Probe | undefined;

  constructor(block: PartBlock, nowMs: number) {
    this.part = block.part;
    this.blockedAtMs = nowMs;
    this.#crashes = block.crashes;
    this.#failedProbes = block.failedProbes;
    this.#lastCrashAtMs = nowMs - block.lastCrashAgeMs;
  }

  get failedProbes(): number {
    return this.#failedProbes;
  }

  get lastCrashAtMs(): number {
    return this.#lastCrashAtMs;
  }

  toBlock(nowMs: number): PartBlock {
    return {
      part: this.part,
      crashes: this.#crashes,
      failedProbes: this.#failedProbes,
      lastCrashAgeMs: Math.max(0, nowMs - this.#lastCrashAtMs),
    };
  }

  /** Takes over what another VM knows of the same block. */
  merge(block: PartBlock, nowMs: number): void {
    this.#crashes = Math.max(this.#crashes, block.crashes);
    if (block.failedProbes <= this.#failedProbes) return;
    this.#failedProbes = block.failedProbes;
    const lastCrashAtMs = nowMs - block.lastCrashAgeMs;
    this.#lastCrashAtMs = Math.max(this.#lastCrashAtMs, lastCrashAtMs);
  }

  recordCrash(atMs: number): void {
    if (atMs <= this.#lastCrashAtMs) return;
    if (atMs - this.#lastCrashAtMs >= MIN_PROBE_CRASH_GAP_MS) {
      this.#failedProbes += 1;
    }
    this.#crashes += 1;
    this.#lastCrashAtMs = atMs;
  }

  recordRefusal(nowMs: number): void {
    this.#lastRefusalAtMs = nowMs;
  }

  isUnused(nowMs: number): boolean {
    const usedAtMs = Math.max(
      this.blockedAtMs,
      this.#lastCrashAtMs,
      this.#lastRefusalAtMs,
    );
    return nowMs - usedAtMs >= UNUSED_BLOCK_RETENTION_MS;
  }

  retryAfterMs(nowMs: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.#nextProbeAtMs() - nowMs);
  }

  /** Whether the request may be sent as a probe, as far as time tells. */
  canProbe(request: AttemptId, nowMs: number): boolean {
    if (nowMs < this.#nextProbeAtMs()) return false;
    if (this.#probe === undefined) {
      return nowMs - this.#lastProbeAtMs >= PROBE_INTERVAL_MS;
    }
    if (this.#probe.isSent) return false;
    return this.#probe.request === request ||
      nowMs - this.#probe.admittedAtMs >= PROBE_SEND_TIMEOUT_MS;
  }

  admitProbe(request: AttemptId, nowMs: number): void {
    this.#probe = { request, admittedAtMs: nowMs, isSent: false };
    this.#lastProbeAtMs = nowMs;
  }

  recordSent(request: AttemptId): void {
    if (this.#probe?.request === request) this.#probe.isSent = true;
  }

  recordEnded(request: AttemptId): void {
    if (this.#probe?.request === request) this.#probe = undefined;
  }

  #nextProbeAtMs(): number {
    const waitsMs: readonly number[] = isRequestSuspect(this.part)
      ? REQUEST_PROBE_WAITS_MS
      : PROBE_WAITS_MS;
    const waitMs = waitsMs[this.#failedProbes] ?? LONGEST_PROBE_WAIT_MS;
    return this.#lastCrashAtMs + waitMs;
  }
}
