/**
 * Counts this VM's calls to both versions of a service during a rollout.
 *
 * @module
 */

import type { SoftwareVersion } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { RolloutCall, RolloutCallOutcome } from "./rollout_gate.js";
import {
  bucketOf,
  type CallCounts,
  countsKey,
  emptyHistogram,
} from "./rollout_observations.js";

interface MutableCounts extends CallCounts {
  sent: number;
  answered: number;
  failed: number;
  readonly durations: number[];
  readonly pauses: number[];
}

/** Counters of one rollout request; calls that began before aren't counted. */
export class CallCounters {
  readonly #candidate: SoftwareVersion;
  readonly #counts = new Map<string, MutableCounts>();
  readonly #open = new Set<CountedCall>();
  #changes = 0;

  constructor(candidate: SoftwareVersion) {
    this.#candidate = candidate;
  }

  /** Increases with each change of the counters. */
  get changes(): number {
    return this.#changes;
  }

  begin(
    server: RegisteredServer,
    { route, cost, clock }: {
      readonly route: string;
      readonly cost: number;
      readonly clock: Clock;
    },
  ): CountedCall {
    const call = new CountedCall(this.#countsOf(server, route), {
      clock,
      cost,
      isCold: clock.nowMs() < server.coldUntilMs,
      onChange: () => {
        this.#changes += 1;
      },
      onOpened: () => {
        this.#open.add(call);
      },
      onEnded: () => {
        this.#open.delete(call);
      },
    });
    return call;
  }

  /**
   * A copy of all counters, with the calls in progress that have no event yet.
   */
  totals(): CallCounts[] {
    const waiting = new Map<CallCounts, number[]>();
    for (const call of this.#open) {
      const ageMs = call.waitingMs();
      if (ageMs === undefined) continue;
      const histogram = waiting.get(call.counts) ?? emptyHistogram();
      increment(histogram, ageMs);
      waiting.set(call.counts, histogram);
    }
    return [...this.#counts.values()].map((counts) => {
      const histogram = waiting.get(counts);
      return {
        ...counts,
        durations: [...counts.durations],
        pauses: [...counts.pauses],
        ...(histogram !== undefined && { waiting: histogram }),
      };
    });
  }

  #countsOf(server: RegisteredServer, route: string): MutableCounts {
    const isCandidate = server.softwareVersion === this.#candidate;
    const created: MutableCounts = {
      route,
      side: isCandidate ? "candidate" : "current",
      server: isCandidate ? server.id : undefined,
      dataCentre: server.dataCentre,
      sent: 0,
      answered: 0,
      failed: 0,
      durations: emptyHistogram(),
      pauses: emptyHistogram(),
    };
    const key = countsKey(created);
    const known = this.#counts.get(key);
    if (known !== undefined) return known;
    this.#counts.set(key, created);
    return created;
  }
}

interface CountedCallOptions {
  readonly clock: Clock;
  readonly cost: number;
  readonly isCold: boolean;
  readonly onChange: () => void;
  readonly onOpened: () => void;
  readonly onEnded: () => void;
}

export class CountedCall implements RolloutCall {
  readonly counts: MutableCounts;
  readonly #options: CountedCallOptions;
  readonly #startedAtMs: number;
  #isSent = false;
  #isEnded = false;
  #lastEventAtMs: number | undefined;
  #events = 0;
  #longestPauseMs = 0;

  constructor(counts: MutableCounts, options: CountedCallOptions) {
    this.counts = counts;
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Time without a first event; undefined if that isn't compared. */
  waitingMs(): number | undefined {
    if (this.#lastEventAtMs !== undefined || this.#options.isCold) {
      return undefined;
    }
    const { clock, cost } = this.#options;
    return (clock.nowMs() - this.#startedAtMs) / cost;
  }

  recordSend(): void {
    if (this.#isSent || this.#isEnded) return;
    this.#isSent = true;
    this.counts.sent += 1;
    this.#options.onOpened();
    this.#options.onChange();
  }

  recordEvent(): void {
    if (this.#isEnded) return;
    const nowMs = this.#options.clock.nowMs();
    if (this.#lastEventAtMs === undefined) {
      this.#recordDuration(nowMs - this.#startedAtMs);
    } else {
      this.#longestPauseMs = Math.max(
        this.#longestPauseMs,
        nowMs - this.#lastEventAtMs,
      );
    }
    this.#lastEventAtMs = nowMs;
    this.#events += 1;
  }

  end(outcome: RolloutCallOutcome, durationMs?: number): void {
    if (this.#isEnded) return;
    this.#options.onEnded();
    if (outcome === "failed") this.counts.failed += 1;
    if (outcome === "answered") {
      this.counts.answered += 1;
      const hasDuration = this.#lastEventAtMs !== undefined;
      if (!hasDuration && durationMs !== undefined) {
        this.#recordDuration(durationMs);
      }
    }
    const hasPauses = this.#events > 1 && !this.#options.isCold;
    if (hasPauses) increment(this.counts.pauses, this.#longestPauseMs);
    this.#isEnded = true;
    this.#options.onChange();
  }

  #recordDuration(durationMs: number): void {
    if (this.#options.isCold) return;
    increment(this.counts.durations, durationMs);
    this.#options.onChange();
  }
}

function increment(histogram: number[], durationMs: number): void {
  const bucket = bucketOf(durationMs);
  histogram[bucket] = (histogram[bucket] ?? 0) + 1;
}
