/**
 * Drives the batch scheduler on the VM that coordinates a group of stage
 * services: makes its calls and tells owners of requests their outcomes.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { LatencyRecords } from "../observability/latency_records.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { BatchCaller, BatchItem } from "./batch_caller.js";
import { BatchScheduler } from "./batch_scheduler.js";
import type { BatchEntry } from "./form_batch.js";
import type {
  ResultReference,
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { StageCall, StageCallOutcome } from "./stage_call.js";
import type { StageJob } from "./stage_job.js";

export interface StageCoordinatorOptions {
  readonly register: ServerRegister;
  readonly caller: BatchCaller;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly retryBudgetOf: (service: ServiceName) => SlidingRetryBudget;
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

/** How often overdue calls and hopeless jobs are looked for. */
const TICK_MS = 40;
/** A call without an answer for so long is closed. */
const CALL_TIMEOUT_MS = 6000;

export class StageCoordinator {
  readonly #options: StageCoordinatorOptions;
  readonly #scheduler: BatchScheduler;
  readonly #onEnded = new Map<string, (outcome: StageGraphOutcome) => void>();
  #timer: NodeJS.Timeout | undefined;
  #isPlanDue = false;

  constructor(options: StageCoordinatorOptions) {
    this.#options = options;
    this.#scheduler = new BatchScheduler({
      register: options.register,
      limitsOf: options.limitsOf,
      retryBudgetOf: options.retryBudgetOf,
      onEnded: (job, outcome) => {
        this.#tellEnded(job, outcome);
      },
      onFree: (server, results) => {
        this.#free(server, results);
      },
    });
  }

  /** Items that wait for a place in a call. */
  get waitingItemCount(): number {
    return this.#scheduler.waitingItemCount;
  }

  submit(submission: GraphSubmission): void {
    const nowMs = this.#options.clock.nowMs();
    this.#onEnded.set(submission.id, submission.onEnded);
    this.#scheduler.submit({ ...submission, nowMs });
    this.#planSoon();
    this.#timer ??= setInterval(() => {
      this.#tick();
    }, TICK_MS);
  }

  release(id: string): void {
    this.#onEnded.delete(id);
    this.#scheduler.release(id);
    this.#planSoon();
  }

  cancelOwnedBy(vmId: VmId): void {
    this.#scheduler.cancelOwnedBy(vmId);
  }

  /** Another VM coordinates by now; what has started here ends here. */
  handOver(): void {
    this.#scheduler.handOver();
  }

  noteServerEnded(server: RegisteredServer): void {
    this.#scheduler.noteServerEnded(server.id, this.#options.clock.nowMs());
    this.#planSoon();
  }

  /** Unfinished jobs. */
  get jobCount(): number {
    return this.#scheduler.jobCount;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tick(): void {
    this.#scheduler.tick(this.#options.clock.nowMs());
    this.#planSoon();
    if (this.#scheduler.jobCount === 0) this.close();
  }

  /** One plan for all that arrives in one turn of the event loop. */
  #planSoon(): void {
    if (this.#isPlanDue) return;
    this.#isPlanDue = true;
    setImmediate(() => {
      this.#isPlanDue = false;
      const calls = this.#scheduler.plan(this.#options.clock.nowMs());
      for (const call of calls) void this.#run(call);
    });
  }

  async #run(call: StageCall): Promise<void> {
    const { clock, caller } = this.#options;
    const outcome = await caller.runItems({
      server: call.server,
      items: call.entries.map((entry) => toBatchItem(entry, call.startedAtMs)),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    this.#note(call, outcome);
    this.#scheduler.endCall(call.id, outcome, clock.nowMs());
    this.#planSoon();
  }

  #note(call: StageCall, outcome: StageCallOutcome): void {
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
    const fault = faultOf(outcome);
    if (fault === undefined) {
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
      reason: fault,
      durationMs: Math.round(clock.nowMs() - call.startedAtMs),
      requests: [
        ...new Set(call.entries.map(({ job }) => job.graph.attemptId)),
      ].join(),
    });
  }

  #tellEnded(job: StageJob, outcome: StageGraphOutcome): void {
    const tell = this.#onEnded.get(job.id);
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
      });
    }
    tell?.(outcome);
  }

  #free(server: RegisteredServer, results: readonly ResultReference[]): void {
    const references = results.map((result) => result.reference);
    void this.#options.caller.freeResults(server, references);
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

/** What went wrong in a call; undefined when every item was made. */
function faultOf(outcome: StageCallOutcome): string | undefined {
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
