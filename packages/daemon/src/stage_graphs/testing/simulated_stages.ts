/**
 * Plays a load of stage graphs against simulated backend servers, without
 * real time: each call takes as long as its service's limits say.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  ResultReference,
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import { SlidingRetryBudget } from "../../placement/sliding_retry_budget.js";
import {
  type RegisteredServer,
  ServerRegister,
} from "../../register/server_register.js";
import type { BatchLimits } from "../../routing/routing_configuration.js";
import { OWNER } from "../../testing/stage_samples.js";
import { nominalMs } from "../batch_server.js";
import { BatchScheduler } from "../batch_scheduler.js";
import type { BatchSchedulerOptions } from "../batch_scheduler_options.js";
import type { NotRunReason, StageCall } from "../stage_call.js";

export interface Arrival {
  readonly atMs: number;
  readonly graph: StageGraph;
}

/** What happened to one job. */
export interface JobReport {
  readonly graph: StageGraph;
  readonly arrivedAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: StageGraphOutcome;
  readonly isOnTime: boolean;
}

export interface SimulationOptions {
  readonly limits: ReadonlyMap<ServiceName, BatchLimits>;
  readonly plan?: NonNullable<BatchSchedulerOptions["plan"]>;
  /** How many times longer the server's calls take. */
  readonly slownessOf?: (server: RegisteredServer, nowMs: number) => number;
  /** Why a server takes no call at the moment; undefined if it does. */
  readonly refusalOf?: (
    server: RegisteredServer,
    nowMs: number,
  ) => NotRunReason | undefined;
  /** Time from the last result until the request has used them. */
  readonly useMs?: number;
}

const TICK_MS = 40;
const REFUSED_AFTER_MS: Readonly<Record<NotRunReason, number>> = {
  full: 2,
  /** A connection that isn't made in this time has failed. */
  notConnected: 900,
  otherServer: 2,
};

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** A clock, a list of events, and the scheduler under test. */
export class SimulatedStages {
  readonly register = new ServerRegister((change) => {
    if (change.kind !== "ended") return;
    this.scheduler.noteServerEnded(change.server.id, this.nowMs);
  });
  readonly scheduler: BatchScheduler;
  readonly reports: JobReport[] = [];
  readonly calls: StageCall[] = [];
  /** Results that were given back. */
  readonly freed = new Set<string>();
  readonly made: string[] = [];
  nowMs = 0;
  readonly #options: SimulationOptions;
  readonly #events: Event[] = [];
  readonly #arrivedAtMs = new Map<string, number>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    const budget = new SlidingRetryBudget(
      () => ({ windowMs: 10_000, ratio: 0.2, slack: 50 }),
      () => 1,
    );
    this.scheduler = new BatchScheduler({
      register: this.register,
      limitsOf: (service) => options.limits.get(service),
      retryBudgetOf: () => budget,
      ...(options.plan === undefined ? {} : { plan: options.plan }),
      onEnded: (job, outcome) => {
        this.#noteEnded(job.id, job.graph, outcome);
      },
      onFree: (_server, results: readonly ResultReference[]) => {
        for (const result of results) this.freed.add(result.reference);
      },
    });
  }

  /** Runs `action` at a moment of the simulated time. */
  at(atMs: number, action: () => void): void {
    this.#events.push({ atMs, run: action });
  }

  submit(arrivals: readonly Arrival[]): void {
    for (const { atMs, graph } of arrivals) {
      this.at(atMs, () => {
        this.#arrivedAtMs.set(graph.attemptId, atMs);
        this.scheduler.submit({
          id: graph.attemptId,
          owner: OWNER,
          graph,
          nowMs: this.nowMs,
        });
      });
    }
  }

  /** Plays all events up to the moment. */
  runUntil(endMs: number): void {
    for (let atMs = this.nowMs; atMs <= endMs; atMs += TICK_MS) {
      this.at(atMs, () => {
        this.scheduler.tick(this.nowMs);
      });
    }
    for (;;) {
      const next = this.#takeNext(endMs);
      if (next === undefined) break;
      this.nowMs = next.atMs;
      next.run();
      for (const call of this.scheduler.plan(this.nowMs)) this.#start(call);
    }
    this.nowMs = endMs;
  }

  #takeNext(endMs: number): Event | undefined {
    let best: number | undefined;
    for (const [index, event] of this.#events.entries()) {
      if (event.atMs > endMs) continue;
      const known = best === undefined ? undefined : this.#events[best];
      if (known === undefined || event.atMs < known.atMs) best = index;
    }
    return best === undefined ? undefined : this.#events.splice(best, 1)[0];
  }

  #start(call: StageCall): void {
    this.calls.push(call);
    const limits = this.#options.limits.get(call.service);
    if (limits === undefined) return;
    const reason = this.#options.refusalOf?.(call.server, this.nowMs);
    if (reason !== undefined) {
      this.at(this.nowMs + REFUSED_AFTER_MS[reason], () => {
        this.scheduler.endCall(call.id, { kind: "notRun", reason }, this.nowMs);
      });
      return;
    }
    const slowness = this.#options.slownessOf?.(call.server, this.nowMs) ?? 1;
    const durationMs = nominalMs(limits, call.entries.length) * slowness;
    this.at(this.nowMs + durationMs, () => {
      const items = call.entries.map((_, place) => {
        const reference = `${call.server.id}/${call.id}.${place}`;
        this.made.push(reference);
        return { kind: "made" as const, reference };
      });
      this.scheduler.endCall(
        call.id,
        { kind: "answered", items },
        this.nowMs,
      );
    });
  }

  #noteEnded(id: string, graph: StageGraph, outcome: StageGraphOutcome): void {
    const arrivedAtMs = this.#arrivedAtMs.get(graph.attemptId) ?? 0;
    const lateAtMs = arrivedAtMs + graph.objectiveInMs - graph.finishMs;
    this.reports.push({
      graph,
      arrivedAtMs,
      endedAtMs: this.nowMs,
      outcome,
      isOnTime: outcome.kind === "completed" && this.nowMs <= lateAtMs,
    });
    if (outcome.kind !== "completed") return;
    this.at(this.nowMs + (this.#options.useMs ?? 50), () => {
      this.scheduler.release(id);
    });
  }
}
