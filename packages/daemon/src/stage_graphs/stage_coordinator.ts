/**
 * Runs the batch scheduler on the VM that coordinates a group of stage
 * services: makes the planned calls and reports outcomes to request owners.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { BufferAccount } from "../memory/buffer_account.js";
import type { LatencyRecords } from "../observability/latency_records.js";
import type { LogFields } from "../observability/log_fields.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { OverloadPolicy } from "../overload/overload_policy.js";
import type { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { ServerRateLimits } from "../rate_limits/server_rate_limits.js";
import { NO_ROLLOUTS, type RolloutGate } from "../rollouts/rollout_gate.js";
import type { ServerNotices } from "../register/server_notices.js";
import type { LoadStatement } from "../server_load/server_load.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { BatchCaller, BatchItem } from "./batch_caller.js";
import { nominalCallMs } from "./batch_server.js";
import { routeOfStages } from "./batch_servers.js";
import { toSampleOutcome } from "./sample_outcome.js";
import { BatchScheduler } from "./batch_scheduler.js";
import { CallerCostQueue } from "./caller_cost_queue.js";
import type { EndedJob } from "./batch_scheduler_options.js";
import type { BatchEntry } from "./plan_batches.js";
import type {
  ResultReference,
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { StageCall, StageCallOutcome } from "./stage_call.js";

export interface StageCoordinatorOptions {
  readonly register: ServerRegister;
  readonly caller: BatchCaller;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly rateLimits: ServerRateLimits;
  readonly serverNotices: ServerNotices;
  readonly retryBudgetOf: (service: ServiceName) => SlidingRetryBudget;
  readonly buffers?: BufferAccount | undefined;
  /** Absent where rollouts of versions aren't supervised. */
  readonly rollouts?: RolloutGate | undefined;
  /** `legacy` without it. */
  readonly overloadPolicy?: OverloadPolicy | undefined;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
  readonly logger: Logger;
}

/** A request whose stages are to run. */
export interface GraphSubmission {
  readonly id: string;
  readonly owner: VmId;
  readonly graph: StageGraph;
  readonly onEnded: (outcome: StageGraphOutcome) => void;
}

/** Interval of the check for overdue calls and infeasible jobs. */
const TICK_MS = 40;
/** Timeout of a batched call. */
const CALL_TIMEOUT_MS = 6000;
/** Interval of the log line about the load of an active coordinator. */
const LOAD_REPORT_INTERVAL_MS = 1000;

export class StageCoordinator {
  readonly #options: StageCoordinatorOptions;
  readonly #scheduler: BatchScheduler;
  readonly #callerCost = new CallerCostQueue();
  readonly #onEnded = new Map<string, (outcome: StageGraphOutcome) => void>();
  #timer: NodeJS.Timeout | undefined;
  #isPlanScheduled = false;
  /** Time spent in the scheduler since the last load report. */
  #schedulingMs = 0;
  #lastLoadReportAtMs = 0;

  constructor(options: StageCoordinatorOptions) {
    this.#options = options;
    this.#scheduler = new BatchScheduler({
      register: options.register,
      limitsOf: options.limitsOf,
      rateLimits: options.rateLimits,
      retryBudgetOf: options.retryBudgetOf,
      buffers: options.buffers,
      rollouts: options.rollouts,
      callerCost: () =>
        options.overloadPolicy?.isCallerCost === true
          ? this.#callerCost
          : undefined,
      onEnded: (job, outcome) => {
        this.#reportOutcome(job, outcome);
      },
      onFreeResults: (server, results) => {
        this.#freeResults(server, results);
      },
    });
  }

  /** Number of items that are not part of a call yet. */
  get waitingItemCount(): number {
    return this.#scheduler.waitingItemCount;
  }

  submit(submission: GraphSubmission): void {
    const nowMs = this.#options.clock.nowMs();
    this.#onEnded.set(submission.id, submission.onEnded);
    this.#measure(() => {
      this.#scheduler.submit({ ...submission, nowMs });
    });
    this.#schedulePlan();
    if (this.#timer !== undefined) return;
    this.#lastLoadReportAtMs = nowMs;
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_MS);
  }

  release(id: string): void {
    this.#onEnded.delete(id);
    this.#scheduler.release(id);
    this.#schedulePlan();
  }

  cancelOwnedBy(vmId: VmId): void {
    this.#scheduler.cancelOwnedBy(vmId);
  }

  /** Another VM coordinates now; only jobs that have started finish here. */
  handOverUnstartedJobs(): void {
    this.#scheduler.handOverUnstartedJobs();
  }

  /** This VM doesn't reach the servers, but the next coordinator does. */
  handOverJobs(): void {
    const { jobCount } = this.#scheduler;
    if (jobCount === 0) return;
    this.#options.logger.info("stageJobsHandedOver", {
      jobs: jobCount,
      callsInFlight: this.#scheduler.callCount,
    });
    this.#scheduler.handOverJobs();
  }

  handleServerEnded(server: RegisteredServer): void {
    this.#scheduler.handleServerEnded(server.id, this.#options.clock.nowMs());
    this.#schedulePlan();
  }

  /** Number of unfinished jobs. */
  get jobCount(): number {
    return this.#scheduler.jobCount;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#measure(() => {
      this.#scheduler.tick(nowMs);
    });
    this.#schedulePlan();
    this.#reportLoad(nowMs);
    if (this.#scheduler.jobCount === 0) this.close();
  }

  /** Plans once for all changes within one turn of the event loop. */
  #schedulePlan(): void {
    if (this.#isPlanScheduled) return;
    this.#isPlanScheduled = true;
    setImmediate(() => {
      this.#isPlanScheduled = false;
      const calls = this.#measure(() =>
        this.#scheduler.plan(this.#options.clock.nowMs())
      );
      for (const call of calls) void this.#runCall(call);
    });
  }

  #measure<Result>(run: () => Result): Result {
    const { clock } = this.#options;
    const startedAtMs = clock.nowMs();
    const result = run();
    this.#schedulingMs += clock.nowMs() - startedAtMs;
    return result;
  }

  #reportLoad(nowMs: number): void {
    const intervalMs = nowMs - this.#lastLoadReportAtMs;
    if (intervalMs < LOAD_REPORT_INTERVAL_MS) return;
    const { metrics, logger } = this.#options;
    metrics.countEvent("stageSchedulingMs", this.#schedulingMs);
    logger.info("stageCoordinatorLoad", {
      jobs: this.#scheduler.jobCount,
      itemsWaiting: this.#scheduler.waitingItemCount,
      callsInFlight: this.#scheduler.callCount,
      schedulingMs: Math.round(this.#schedulingMs),
      intervalMs: Math.round(intervalMs),
    });
    this.#schedulingMs = 0;
    this.#lastLoadReportAtMs = nowMs;
  }

  async #runCall(call: StageCall): Promise<void> {
    const { clock, caller, rateLimits, serverNotices } = this.#options;
    const { register, rollouts = NO_ROLLOUTS } = this.#options;
    const { server, permit } = call;
    const cost = this.#relativeCost(call);
    const sample = rollouts.beginCall(
      server,
      routeOfStages(call.service),
      cost,
    );
    const { outcome, rateLimit, notice, load } = await caller.runItems({
      server,
      items: call.entries.map((entry) => toBatchItem(entry, call.startedAtMs)),
      timeoutMs: CALL_TIMEOUT_MS,
      maySend: () => {
        const isAllowed = register.isUsable(server) &&
          rollouts.maySend(server, permit, { isContinuation: false });
        if (isAllowed) sample.recordSend();
        return isAllowed;
      },
    });
    if (outcome.kind === "notRun" && outcome.reason === "notAllowed") {
      permit?.giveBack();
    }
    sample.end(
      toSampleOutcome(outcome),
      (clock.nowMs() - call.startedAtMs) / cost,
    );
    const request = call.entries[0]?.job.graph.attemptId;
    rateLimits.recordStatement(call.server.id, rateLimit, {
      startedAtMs: call.startedAtMs,
      request,
    });
    serverNotices.record(call.server, notice, request ?? "");
    this.#recordCall(call, outcome);
    this.#recordLoad(call, load);
    this.#scheduler.endCall(call.id, outcome, clock.nowMs());
    this.#schedulePlan();
  }

  #recordLoad(call: StageCall, load: LoadStatement | undefined): void {
    if (load === undefined || load.kind === "none") return;
    this.#scheduler.recordLoad(call.id, load, this.#options.clock.nowMs());
    if (load.kind === "stated" && load.load.slowdown !== undefined) {
      this.#options.overloadPolicy?.recordStatedWorkTime("server");
    }
    if (load.kind !== "invalid") return;
    this.#options.metrics.countEvent("serverLoadInvalid");
    this.#options.logger.debug("serverLoadInvalid", {
      server: call.server.id,
      text: load.text,
    });
  }

  /** Duration of a call relative to one with a single item. */
  #relativeCost({ service, entries }: StageCall): number {
    const limits = this.#options.limitsOf(service);
    const singleMs = limits === undefined ? 0 : nominalCallMs(limits, 1);
    if (limits === undefined || singleMs === 0) return entries.length;
    return nominalCallMs(limits, entries.length) / singleMs;
  }

  #recordCall(call: StageCall, outcome: StageCallOutcome): void {
    const { metrics, logger, clock } = this.#options;
    metrics.countEvent("stageCall");
    metrics.countEvent("stageItem", call.entries.length);
    const callMs = clock.nowMs() - call.startedAtMs;
    this.#options.latencies.record({
      pipeline: "stages",
      stage: call.service,
      durationMs: callMs,
      callMs,
      tokens: 0,
    });
    const failure = describeFailure(outcome);
    if (failure === undefined) {
      logger.debug("stageCallEnded", {
        service: call.service,
        server: call.server.id,
        items: call.entries.length,
        durationMs: Math.round(clock.nowMs() - call.startedAtMs),
        jobs: this.#scheduler.jobCount,
      });
      return;
    }
    metrics.countEvent(`stageCallFailed.${outcome.kind}`);
    logger.info("stageCallFailed", {
      service: call.service,
      server: call.server.id,
      items: call.entries.length,
      outcome: outcome.kind,
      reason: failure,
      durationMs: Math.round(clock.nowMs() - call.startedAtMs),
      requests: [
        ...new Set(call.entries.map(({ job }) => job.graph.attemptId)),
      ].join(),
    });
  }

  #reportOutcome(job: EndedJob, outcome: StageGraphOutcome): void {
    const onEnded = this.#onEnded.get(job.id);
    this.#onEnded.delete(job.id);
    const { metrics, logger, clock } = this.#options;
    if (outcome.kind === "refused") {
      metrics.countEvent(`stageGraphRefused.${outcome.reason}`);
      logger.info("stageGraphRefused", {
        request: job.graph.attemptId,
        reason: outcome.reason,
        retryAfterMs: Math.round(outcome.retryAfterMs),
        waitedMs: Math.round(clock.nowMs() - job.acceptedAtMs),
        jobs: this.#scheduler.jobCount,
        ...this.#refusalInputs(job),
      });
    }
    onEnded?.(outcome);
  }

  /** What the refusal rests on, with the policy `callerCost`. */
  #refusalInputs({ graph }: EndedJob): LogFields {
    if (this.#options.overloadPolicy?.isCallerCost !== true) return {};
    return {
      policy: "callerCost",
      route: graph.kind,
      account: graph.account,
      priority: graph.priority,
      relativeSize: Number(graph.relativeSize.toFixed(2)),
      ageMs: Math.round(graph.ageMs ?? 0),
      objectiveInMs: Math.round(graph.objectiveInMs),
      deadlineInMs: Math.round(graph.deadlineInMs),
      itemsWaiting: this.#scheduler.waitingItemCount,
    };
  }

  #freeResults(
    server: RegisteredServer,
    results: readonly ResultReference[],
  ): void {
    // Results expire; a server that asked for a pause gets no calls.
    if (this.#options.register.isPaused(server)) return;
    // A server of a version under test gets no request without a permit.
    const { rollouts = NO_ROLLOUTS } = this.#options;
    const admission = rollouts.admits(server, { isContinuation: true });
    if (admission !== "freely") return;
    const references = results.map((result) => result.reference);
    void this.#callToFreeResults(server, references);
  }

  async #callToFreeResults(
    server: RegisteredServer,
    references: readonly string[],
  ): Promise<void> {
    const { caller, serverNotices } = this.#options;
    const notice = await caller.freeResults(server, references);
    serverNotices.record(server, notice, "");
  }
}

function toBatchItem(entry: BatchEntry, nowMs: number): BatchItem {
  const { job, item } = entry;
  const inputs = job.inputsOf(item.stage);
  return {
    attemptId: job.graph.attemptId,
    stage: item.stage,
    index: item.index,
    remainingMs: Math.max(1, Math.round(job.deadlineAtMs - nowMs)),
    input: job.stage(item.stage).after.length === 0
      ? { kind: "key", key: job.graph.inputKey }
      : {
        kind: "results",
        references: inputs.map((input) => input.reference),
      },
  };
}

/** Describes the failure of a call; undefined if all items succeeded. */
function describeFailure(outcome: StageCallOutcome): string | undefined {
  switch (outcome.kind) {
    case "answered": {
      const reasons = outcome.items.flatMap((item) =>
        item.kind === "failed" ? [item.reason] : []
      );
      return reasons.length === 0 ? undefined : reasons.join();
    }
    case "notRun":
      return outcome.reason;
    case "unknown":
      return outcome.detail;
  }
}
