/**
 * Simulates a load of stage graphs on backend servers in virtual time: each
 * call takes as long as the limits of its service specify.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  ResultReference,
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { BufferAccount } from "../../memory/buffer_account.js";
import { SlidingRetryBudget } from "../../placement/sliding_retry_budget.js";
import {
  type RegisteredServer,
  ServerRegister,
} from "../../register/server_register.js";
import type { BatchLimits } from "../../routing/routing_configuration.js";
import { OWNER } from "../../testing/stage_samples.js";
import { nominalCallMs } from "../batch_server.js";
import { BatchScheduler } from "../batch_scheduler.js";
import type { BatchSchedulerOptions } from "../batch_scheduler_options.js";
import type { CallerCostQueue } from "../caller_cost_queue.js";
import type { NotRunReason, StageCall } from "../stage_call.js";
import type { SharedStageServers } from "./shared_stage_servers.js";

export interface Arrival {
  readonly atMs: number;
  readonly graph: StageGraph;
}

/** Outcome and times of one job. */
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
  /** Factor by which the server's calls take longer than nominal. */
  readonly slowdownOf?: (server: RegisteredServer, nowMs: number) => number;
  /** Servers that differ in speed and are used by others too. */
  readonly servers?: SharedStageServers;
  /** Reason why a server refuses calls now; undefined if it accepts them. */
  readonly refusalOf?: (
    server: RegisteredServer,
    nowMs: number,
  ) => NotRunReason | undefined;
  readonly buffers?: BufferAccount;
  /** Items that may be sent again within 10 s. */
  readonly retries?: number;
  /** State of the policy `callerCost`; the order is `legacy` without it. */
  readonly callerCost?: CallerCostQueue;
  /**
   * Time after which the client of a refused graph sends it again; undefined if
   * it doesn't. Refusals are final without it.
   */
  readonly returnAfterMs?: (refused: RefusedGraph) => number | undefined;
  /** Age that the VM estimates from the deadline that the client states. */
  readonly ageMs?: (graph: StageGraph, deadlineInMs: number) => number;
  /** Time from the last result until the request releases its results. */
  readonly resultUseMs?: number;
}

export interface RefusedGraph {
  readonly graph: StageGraph;
  readonly retryAfterMs: number;
  /** Time until the client gives up. */
  readonly remainingMs: number;
}

const TICK_MS = 40;
const REFUSAL_DELAY_MS: Readonly<Record<NotRunReason, number>> = {
  full: 2,
  /** Simulated connect timeout. */
  notConnected: 900,
  otherServer: 2,
  notAllowed: 2,
};

interface SimulationEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Discrete-event simulation of the scheduler under test. */
export class SimulatedStages {
  readonly register = new ServerRegister((change) => {
    if (change.kind !== "ended") return;
    this.scheduler.handleServerEnded(change.server.id, this.nowMs);
  });
  readonly scheduler: BatchScheduler;
  readonly reports: JobReport[] = [];
  readonly calls: StageCall[] = [];
  /** References of the results that were freed. */
  readonly freed = new Set<string>();
  readonly made: string[] = [];
  nowMs = 0;
  readonly #options: SimulationOptions;
  readonly #events: SimulationEvent[] = [];
  readonly #arrivedAtMs = new Map<string, number>();
  readonly #submitted = new Map<string, StageGraph>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    const budget = new SlidingRetryBudget(
      () => ({
        windowMs: 10_000,
        ratio: options.retries === undefined ? 0.2 : 0,
        slack: options.retries ?? 50,
      }),
      () => 1,
    );
    this.scheduler = new BatchScheduler({
      register: this.register,
      rateLimits: {
        requestsPerSecond: () => undefined,
        reserve: () => true,
        useReservation: () => undefined,
      },
      limitsOf: (service) => options.limits.get(service),
      retryBudgetOf: () => budget,
      buffers: options.buffers,
      ...(options.plan === undefined ? {} : { plan: options.plan }),
      callerCost: () => options.callerCost,
      onEnded: (job, outcome) => {
        this.#recordOutcome(job.id, job.graph, outcome);
      },
      onFreeResults: (_server, results: readonly ResultReference[]) => {
        for (const result of results) this.freed.add(result.reference);
      },
    });
  }

  /** Runs `action` at the given simulated time. */
  at(atMs: number, action: () => void): void {
    this.#events.push({ atMs, run: action });
  }

  submit(arrivals: readonly Arrival[]): void {
    for (const { atMs, graph } of arrivals) {
      this.at(atMs, () => {
        this.#arrivedAtMs.set(graph.attemptId, atMs);
        this.#submitNow(graph);
      });
    }
  }

  /** The client states the time that it has left at each of its attempts. */
  #submitNow(graph: StageGraph): void {
    const arrivedAtMs = this.#arrivedAtMs.get(graph.attemptId) ?? this.nowMs;
    const elapsedMs = this.nowMs - arrivedAtMs;
    const deadlineInMs = graph.deadlineInMs - elapsedMs;
    const ageMs = this.#options.ageMs?.(graph, deadlineInMs) ?? 0;
    this.scheduler.submit({
      id: graph.attemptId,
      owner: OWNER,
      graph: {
        ...graph,
        deadlineInMs,
        objectiveInMs: graph.objectiveInMs - ageMs,
        ageMs,
      },
      nowMs: this.nowMs,
    });
    this.#submitted.set(graph.attemptId, graph);
  }

  /** Returns whether the client of the refused graph comes back. */
  #returnLater(id: string, outcome: StageGraphOutcome): boolean {
    const { returnAfterMs } = this.#options;
    const graph = this.#submitted.get(id);
    if (outcome.kind !== "refused" || graph === undefined) return false;
    const arrivedAtMs = this.#arrivedAtMs.get(id) ?? 0;
    const remainingMs = arrivedAtMs + graph.deadlineInMs - this.nowMs;
    const afterMs = returnAfterMs?.({
      graph,
      retryAfterMs: outcome.retryAfterMs,
      remainingMs,
    });
    if (afterMs === undefined || afterMs >= remainingMs) return false;
    this.at(this.nowMs + afterMs, () => {
      this.#submitNow(graph);
    });
    return true;
  }

  /** Processes all events up to `endMs`. */
  runUntil(endMs: number): void {
    for (let atMs = this.nowMs; atMs <= endMs; atMs += TICK_MS) {
      this.at(atMs, () => {
        this.scheduler.tick(this.nowMs);
      });
    }
    for (;;) {
      const next = this.#takeNextEvent(endMs);
      if (next === undefined) break;
      this.nowMs = next.atMs;
      next.run();
      for (const call of this.scheduler.plan(this.nowMs)) this.#startCall(call);
    }
    this.nowMs = endMs;
  }

  #takeNextEvent(endMs: number): SimulationEvent | undefined {
    let bestIndex: number | undefined;
    for (const [index, event] of this.#events.entries()) {
      if (event.atMs > endMs) continue;
      const best = bestIndex === undefined
        ? undefined
        : this.#events[bestIndex];
      if (best === undefined || event.atMs < best.atMs) bestIndex = index;
    }
    return bestIndex === undefined
      ? undefined
      : this.#events.splice(bestIndex, 1)[0];
  }

  #startCall(call: StageCall): void {
    this.calls.push(call);
    const limits = this.#options.limits.get(call.service);
    if (limits === undefined) return;
    const reason = this.#options.refusalOf?.(call.server, this.nowMs);
    if (reason !== undefined) {
      this.at(this.nowMs + REFUSAL_DELAY_MS[reason], () => {
        this.scheduler.endCall(call.id, { kind: "notRun", reason }, this.nowMs);
      });
      return;
    }
    const slowdown = this.#options.slowdownOf?.(call.server, this.nowMs) ?? 1;
    const durationMs = nominalCallMs(limits, call.entries.length) * slowdown;
    const { servers } = this.#options;
    const endsAtMs = servers?.beginCall(call.server, durationMs, this.nowMs) ??
      this.nowMs + durationMs;
    this.at(endsAtMs, () => {
      if (servers !== undefined) {
        const statement = servers.statementOf(call.server, this.nowMs);
        this.scheduler.recordLoad(call.id, statement, this.nowMs);
      }
      const items = call.entries.map((_, index) => {
        const reference = `${call.server.id}/${call.id}.${index}`;
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

  #recordOutcome(
    id: string,
    graph: StageGraph,
    outcome: StageGraphOutcome,
  ): void {
    if (this.#returnLater(id, outcome)) return;
    const arrivedAtMs = this.#arrivedAtMs.get(graph.attemptId) ?? 0;
    const objectiveAtMs = arrivedAtMs + graph.objectiveInMs - graph.finishMs;
    this.reports.push({
      graph,
      arrivedAtMs,
      endedAtMs: this.nowMs,
      outcome,
      isOnTime: outcome.kind === "completed" && this.nowMs <= objectiveAtMs,
    });
    if (outcome.kind !== "completed") return;
    this.at(this.nowMs + (this.#options.resultUseMs ?? 50), () => {
      this.scheduler.release(id);
    });
  }
}
