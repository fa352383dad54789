/**
 * Schedules the stages of all requests of one group of stage services: forms
 * batched calls, tracks the result of each item, and frees results as soon as
 * nothing needs them.
 *
 * The scheduler performs no I/O; its caller makes the planned calls.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import {
  isNoRoomFailure,
  requeueItem,
  totalResultBytes,
  toUsableOutcome,
} from "./batch_entries.js";
import { BatchServers } from "./batch_servers.js";
import type { BatchSchedulerOptions } from "./batch_scheduler_options.js";
import { ChangedServices } from "./changed_services.js";
import { findInfeasibleJobs } from "./find_infeasible_jobs.js";
import {
  type BatchEntry,
  planBatches,
  type PlannedBatch,
} from "./plan_batches.js";
import { findGraphRefusal } from "./graph_admission.js";
import { HeldResults } from "./held_results.js";
import { JobIndex } from "./job_index.js";
import type {
  ResultReference,
  StageGraph,
  StageGraphOutcome,
  StageRefusalReason,
} from "@sassafrasstage/protocol/stage_graph";
import {
  handleNotRun,
  type InFlightCall,
  makeInFlightCall,
  requeueIfOverdue,
} from "./in_flight_call.js";
import type {
  ItemFailure,
  ItemOutcome,
  StageCall,
  StageCallOutcome,
} from "./stage_call.js";
import { StageJob, type StageJobOptions } from "./stage_job.js";
import { StageStateMemory } from "./stage_state_memory.js";
import type { LoadStatement } from "../server_load/server_load.js";
import { WorkEstimates } from "./work_estimates.js";

/** Maximum number of times that one item is sent before its job is refused. */
const MAX_ITEM_SENDS = 4;
/** A result is treated as expired this long before its server drops it. */
const EXPIRY_MARGIN_MS = 150;
/** Servers may have been added by then. */
const UNSERVABLE_RETRY_AFTER_MS = 1000;

export class BatchScheduler {
  readonly #options: BatchSchedulerOptions;
  readonly #jobs = new JobIndex();
  /** Completed jobs whose results are still in use by their requests. */
  readonly #completed = new Map<string, StageJob>();
  readonly #servers: BatchServers;
  readonly #calls = new Map<number, InFlightCall>();
  readonly #heldResults = new HeldResults();
  readonly #estimates: WorkEstimates;
  readonly #memory: StageStateMemory;
  readonly #changedServices = new ChangedServices();
  #lastCallId = 0;

  constructor(options: BatchSchedulerOptions) {
    this.#options = options;
    this.#servers = new BatchServers(options);
    this.#estimates = new WorkEstimates(options.limitsOf);
    this.#memory = new StageStateMemory(options.buffers);
  }

  get jobCount(): number {
    return this.#jobs.size;
  }

  /** Number of calls without an outcome. */
  get callCount(): number {
    return this.#calls.size;
  }

  /** Number of items of all unfinished jobs that are not part of a call. */
  get waitingItemCount(): number {
    return this.#jobs.waitingItemCount;
  }

  /**
   * Accepts a job, or refuses it at once if it can't be done, or not in time even
   * if nothing else is queued; `tick` refuses it if the queue is too long. If a job
   * with this id has completed already, its outcome is reported again.
   */
  submit(options: StageJobOptions): void {
    if (this.#jobs.get(options.id) !== undefined) return;
    const completed = this.#completed.get(options.id);
    if (completed !== undefined) {
      this.#reportCompleted(completed);
      return;
    }
    const reason = this.#findRefusal(options.graph);
    if (reason !== undefined) {
      this.#options.onEnded(
        { ...options, acceptedAtMs: options.nowMs },
        { kind: "refused", reason, retryAfterMs: UNSERVABLE_RETRY_AFTER_MS },
      );
      return;
    }
    const job = new StageJob(options);
    this.#jobs.add(job);
    this.#memory.add(job, () => {
      this.#evict(job);
    });
    if (job.isEnded) return;
    for (const service of job.services) {
      this.#options.retryBudgetOf(service).recordRequest(options.nowMs);
    }
    this.#refuseInfeasible([job], options.nowMs);
    this.#completeIfDone(job);
    this.#changedServices.addReadyStages([job]);
  }

  #findRefusal(graph: StageGraph): StageRefusalReason | undefined {
    const reason = findGraphRefusal({
      graph,
      serversOf: ({ service }) => this.#servers.usable(service),
    });
    if (reason !== undefined) return reason;
    return this.#memory.hasRoomFor(graph) ? undefined : "overloaded";
  }

  /** Ends a job to free its memory. */
  #evict(job: StageJob): void {
    if (job.isEnded) {
      this.#removeJob(job);
      return;
    }
    this.#refuse(job, {
      kind: "refused",
      reason: "overloaded",
      retryAfterMs: UNSERVABLE_RETRY_AFTER_MS,
    });
  }

  /** Removes a job whose results are no longer needed or that was canceled. */
  release(jobId: string): void {
    const job = this.#jobs.get(jobId) ?? this.#completed.get(jobId);
    if (job === undefined) return;
    this.#removeJob(job);
  }

  /** Cancels the unfinished jobs of a VM that can't be reached any more. */
  cancelOwnedBy(vmId: VmId): void {
    for (const job of this.#jobs.ownedBy(vmId)) this.#removeJob(job);
  }

  /** Ends the jobs that have not started, so that another VM can run them. */
  handOverUnstartedJobs(): void {
    for (const job of [...this.#jobs.all()]) {
      if (!job.hasStarted()) this.#refuse(job, { kind: "moved" });
    }
  }

  /** Ends all jobs, so that a VM that reaches their servers runs them anew. */
  handOverJobs(): void {
    for (const job of [...this.#jobs.all()]) {
      this.#refuse(job, { kind: "moved" });
    }
  }

  /** Forms the calls that can start now and records them as started. */
  plan(nowMs: number): StageCall[] {
    return this.#changedServices.take().flatMap((service) =>
      this.#planService(service, nowMs)
    );
  }

  /** Records what the response to a call states; precedes `endCall`. */
  recordLoad(callId: number, statement: LoadStatement, nowMs: number): void {
    if (statement.kind !== "stated") return;
    this.#calls.get(callId)?.batchServer.recordLoad(statement.load, nowMs);
  }

  endCall(callId: number, outcome: StageCallOutcome, nowMs: number): void {
    const call = this.#calls.get(callId);
    if (call === undefined) return;
    this.#calls.delete(callId);
    call.batchServer.endCall(call.entries.length);
    for (const { item } of call.entries) item.endCall(callId);
    this.#changedServices.add(call.service);
    switch (outcome.kind) {
      case "answered":
        call.batchServer.markReachable();
        this.#handleItemOutcomes(call, outcome.items, nowMs);
        break;
      case "notRun":
        handleNotRun(call, outcome.reason, nowMs);
        this.#requeueItems(call);
        break;
      case "unknown":
        if (call.isOverdue) call.batchServer.markUnreachable(nowMs);
        call.batchServer.suspend(nowMs);
        this.#requeueItems(call);
        break;
    }
    this.#changedServices.addReadyStages(call.entries.map(({ job }) => job));
  }

  /** Handles overdue calls, expired results and infeasible jobs. */
  tick(nowMs: number): void {
    for (const call of this.#calls.values()) requeueIfOverdue(call, nowMs);
    for (
      const held of this.#heldResults.takeExpired(nowMs + EXPIRY_MARGIN_MS)
    ) {
      this.#invalidateResults([held.result]);
      this.#servers.get(held.result.maker)?.releaseResultBytes(held.bytes);
    }
    this.#refuseInfeasible(this.#jobs.all(), nowMs);
    this.#changedServices.addAll(this.#jobs.services());
  }

  /**
   * Handles the end of a server: its results are lost. A server whose entry was
   * removed may go on serving, so its calls keep running, and other servers get
   * their items as well. Those of a server that was started again are lost.
   */
  handleServerEnded(id: BackendServerId, nowMs: number): void {
    const lost = this.#heldResults.takeAllFromMaker(id).map((held) =>
      held.result
    );
    this.#invalidateResults(lost);
    for (const call of [...this.#calls.values()]) {
      if (call.server.id !== id) continue;
      if (this.#options.register.get(id) === undefined) {
        for (const { item } of call.entries) requeueItem(call, item);
      } else this.endCall(call.id, { kind: "unknown", detail: "ended" }, nowMs);
    }
    this.#servers.forget(id);
    this.#changedServices.addAll(this.#jobs.services());
  }

  #refuseInfeasible(jobs: Iterable<StageJob>, nowMs: number): void {
    const infeasible = findInfeasibleJobs({
      jobs,
      estimates: this.#estimates,
      capacityOf: (service) => this.#servers.capacityOf(service, nowMs),
      nowMs,
      callerCost: this.#options.callerCost?.(),
    });
    for (const { job, reason, retryAfterMs } of infeasible) {
      if (job.isRunning && nowMs <= job.deadlineAtMs) continue;
      this.#refuse(job, { kind: "refused", reason, retryAfterMs });
      this.#options.callerCost?.()?.recordOutcome(job, false, nowMs);
    }
  }

  #planService(service: ServiceName, nowMs: number): StageCall[] {
    const servers = this.#servers.planView(service, nowMs);
    if (servers.idle.length === 0) return [];
    const { plan = planBatches } = this.#options;
    return plan({
      ...servers,
      service,
      jobs: this.#jobs.usersOf(service),
      estimates: this.#estimates,
      nowMs,
      callerCost: this.#options.callerCost?.(),
    }).flatMap((batch) => this.#startCall(service, batch, nowMs));
  }

  #startCall(
    service: ServiceName,
    batch: PlannedBatch,
    nowMs: number,
  ): StageCall[] {
    const entries = batch.entries.filter((entry) =>
      this.#maySend(entry, service, nowMs)
    );
    if (entries.length === 0) return [];
    const permit = this.#servers.takePermit(batch.server);
    if (permit === "missing") return [];
    this.#lastCallId += 1;
    const id = this.#lastCallId;
    const call = makeInFlightCall({
      id,
      service,
      entries,
      batch,
      permit,
      nowMs,
    });
    for (const { item } of entries) {
      item.startCall(id);
    }
    this.#options.rateLimits.useReservation(call.server.id);
    batch.server.startCall(entries.length, totalResultBytes(entries), nowMs);
    this.#calls.set(id, call);
    return [call];
  }

  #maySend(entry: BatchEntry, service: ServiceName, nowMs: number): boolean {
    if (entry.job.isEnded) return false;
    if (entry.item.sendCount === 0) return true;
    const budget = this.#options.retryBudgetOf(service);
    const worth = this.#options.callerCost?.()?.retryWorth(entry.job, nowMs);
    if (
      entry.item.sendCount < MAX_ITEM_SENDS && budget.tryRetry(nowMs, worth)
    ) {
      return true;
    }
    if (entry.item.isCalled) {
      entry.item.waitForOpenCall();
      return false;
    }
    this.#refuse(entry.job, {
      kind: "refused",
      reason: "noServer",
      retryAfterMs: this.#estimates.expectedCallMs(service),
    });
    return false;
  }

  #handleItemOutcomes(
    call: InFlightCall,
    outcomes: readonly ItemOutcome[],
    nowMs: number,
  ): void {
    const durationMs = nowMs - call.startedAtMs;
    const hasResult = outcomes.some((outcome) => outcome.kind === "made");
    if (hasResult) {
      call.batchServer.recordDuration(call.entries.length, durationMs, nowMs);
      this.#estimates.recordCall(call.service, durationMs);
    }
    const unused: ResultReference[] = [];
    const expiresAtMs = nowMs + call.batchServer.limits.resultRetentionMs;
    for (const [index, entry] of call.entries.entries()) {
      const outcome = toUsableOutcome(outcomes[index]);
      if (outcome.kind === "made") {
        const result = {
          reference: outcome.reference,
          maker: call.server.id,
          dataCentre: call.server.dataCentre,
        };
        if (!this.#storeResult(entry, result, expiresAtMs)) unused.push(result);
      } else this.#handleItemFailure(call, entry, outcome.reason);
    }
    this.#freeResults(unused);
    const noRoomEntries = call.entries
      .filter((_, index) => isNoRoomFailure(outcomes[index]));
    if (noRoomEntries.length > 0) {
      call.batchServer.recordNoRoom(totalResultBytes(noRoomEntries), nowMs);
    }
    const jobs = new Set(call.entries.map((entry) => entry.job));
    for (const job of jobs) {
      if (this.#completeIfDone(job)) this.#recordServed(job, nowMs);
    }
  }

  #recordServed(job: StageJob, nowMs: number): void {
    const wasServed = nowMs <= job.deadlineAtMs;
    this.#options.callerCost?.()?.recordOutcome(job, wasServed, nowMs);
  }

  /** Returns false if nothing needs the result. */
  #storeResult(
    entry: BatchEntry,
    result: ResultReference,
    expiresAtMs: number,
  ): boolean {
    const { job, item } = entry;
    const bytes = job.stage(item.stage).resultBytes;
    this.#heldResults.add({ result, bytes, expiresAtMs });
    if (job.isEnded || item.state.kind === "done") return false;
    item.state = { kind: "done", result, expiresAtMs };
    this.#freeUsedInputs(job, item.stage);
    return true;
  }

  #handleItemFailure(
    call: InFlightCall,
    entry: BatchEntry,
    reason: ItemFailure,
  ): void {
    const { job, item } = entry;
    call.batchServer.releaseResultBytes(job.stage(item.stage).resultBytes);
    requeueItem(call, item);
    switch (reason) {
      case "noRoom":
        // The server did not process the item, so this doesn't count as a send.
        item.sendCount -= 1;
        break;
      case "inputGone":
        // The server doesn't say which input is missing, so recompute all.
        this.#invalidateResults(job.inputsOf(item.stage));
        break;
      case "outOfTime":
      case "error":
        break;
    }
  }

  /** Frees the inputs of a completed stage that nothing else needs. */
  #freeUsedInputs(job: StageJob, stage: number): void {
    if (!job.isStageDone(stage)) return;
    for (const input of job.stage(stage).after) {
      if (!job.isResultNeeded(input)) this.#freeResults(job.resultsOf(input));
    }
  }

  #requeueItems(call: InFlightCall): void {
    call.batchServer.releaseResultBytes(totalResultBytes(call.entries));
    for (const { item } of call.entries) requeueItem(call, item);
  }

  #invalidateResults(results: readonly ResultReference[]): void {
    if (results.length === 0) return;
    const lost = new Set(results.map((result) => result.reference));
    for (const job of this.#jobs.all()) job.invalidateResults(lost);
  }

  /** Returns whether the job has just completed. */
  #completeIfDone(job: StageJob): boolean {
    if (job.isEnded || !job.isComplete()) return false;
    job.isEnded = true;
    this.#jobs.remove(job);
    this.#completed.set(job.id, job);
    this.#reportCompleted(job);
    return true;
  }

  #reportCompleted(job: StageJob): void {
    this.#options.onEnded(job, {
      kind: "completed",
      results: job.finalResults(),
    });
  }

  #refuse(job: StageJob, outcome: StageGraphOutcome): void {
    if (job.isEnded) return;
    this.#removeJob(job);
    this.#options.onEnded(job, outcome);
  }

  #removeJob(job: StageJob): void {
    job.isEnded = true;
    this.#jobs.remove(job);
    this.#completed.delete(job.id);
    this.#memory.remove(job);
    this.#freeResults(
      [...job.graph.stages.keys()].flatMap((stage) => job.resultsOf(stage)),
    );
  }

  #freeResults(results: readonly ResultReference[]): void {
    for (const [maker, held] of this.#heldResults.takeGroupedByMaker(results)) {
      const bytes = held.reduce((sum, heldResult) => sum + heldResult.bytes, 0);
      this.#servers.get(maker)?.releaseResultBytes(bytes);
      const server = this.#options.register.get(maker);
      if (server === undefined) continue;
      this.#changedServices.add(server.service);
      this.#options.onFreeResults(server, held.map(({ result }) => result));
    }
  }
}
