/**
 * Runs the stages of all requests of one group of stage services: forms
 * batched calls, follows each item to its result, and gives results back as
 * soon as nothing needs them.
 *
 * Decides only; whoever drives it makes the calls.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import { isNoRoom, returnItem, roomOf } from "./batch_entries.js";
import { BatchServers } from "./batch_servers.js";
import type { BatchSchedulerOptions } from "./batch_scheduler_options.js";
import { findHopeless } from "./find_hopeless.js";
import {
  type BatchEntry,
  planBatches,
  type PlannedBatch,
} from "./form_batch.js";
import { HeldResults } from "./held_results.js";
import type {
  ResultReference,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import { checkOverdue, noteNotRun, type OpenCall } from "./open_call.js";
import type {
  ItemFailure,
  ItemOutcome,
  StageCall,
  StageCallOutcome,
} from "./stage_call.js";
import { StageJob, type StageJobOptions } from "./stage_job.js";
import { servicesOf, WorkEstimates } from "./work_estimates.js";

/** Sends of one item before its job is given up. */
const MAX_ITEM_SENDS = 4;
/** A result is taken as dropped this long before its maker would. */
const LAPSE_MARGIN_MS = 150;

export class BatchScheduler {
  readonly #options: BatchSchedulerOptions;
  readonly #jobs = new Map<string, StageJob>();
  /** Their results are in use by their requests. */
  readonly #completed = new Map<string, StageJob>();
  readonly #servers: BatchServers;
  readonly #calls = new Map<number, OpenCall>();
  readonly #held = new HeldResults();
  readonly #estimates: WorkEstimates;
  #lastCallId = 0;

  constructor(options: BatchSchedulerOptions) {
    this.#options = options;
    this.#servers = new BatchServers(options);
    this.#estimates = new WorkEstimates(options.limitsOf);
  }

  get jobCount(): number {
    return this.#jobs.size;
  }

  /** Items that no call holds yet, over all unfinished jobs. */
  get waitingItemCount(): number {
    return [...this.#jobs.values()]
      .reduce((sum, job) => sum + job.waitingItemCount, 0);
  }

  /**
   * Takes a job, or ends it at once when it can't be done in time. For a job
   * that is known by its id, the outcome is told again if there is one.
   */
  submit(options: StageJobOptions): void {
    if (this.#jobs.has(options.id)) return;
    const completed = this.#completed.get(options.id);
    if (completed !== undefined) {
      this.#tellCompleted(completed);
      return;
    }
    const job = new StageJob(options);
    this.#jobs.set(job.id, job);
    for (const service of servicesOf(job)) {
      this.#options.retryBudgetOf(service).noteRequest(options.nowMs);
    }
    this.refuseHopeless(options.nowMs);
    this.#completeIfDone(job);
  }

  /** The request has used the results, or was given up. */
  release(jobId: string): void {
    const job = this.#jobs.get(jobId) ?? this.#completed.get(jobId);
    if (job === undefined) return;
    this.#drop(job);
  }

  /** Gives up the unfinished jobs of a VM that can't be told any more. */
  cancelOwnedBy(vmId: VmId): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.owner === vmId) this.#drop(job);
    }
  }

  /** Gives up the jobs that have not started, for another VM to run. */
  handOver(): void {
    for (const job of [...this.#jobs.values()]) {
      if (!job.hasStarted()) this.#refuse(job, { kind: "moved" });
    }
  }

  /** Forms the calls that can start now and counts them as started. */
  plan(nowMs: number): StageCall[] {
    const services = new Set<ServiceName>();
    for (const job of this.#jobs.values()) {
      for (const position of job.readyStages()) {
        services.add(job.stage(position).service);
      }
    }
    return [...services].flatMap((service) => this.#planFor(service, nowMs));
  }

  endCall(callId: number, outcome: StageCallOutcome, nowMs: number): void {
    const call = this.#calls.get(callId);
    if (call === undefined) return;
    this.#calls.delete(callId);
    call.batchServer.endCall();
    switch (outcome.kind) {
      case "answered":
        call.batchServer.noteReached();
        this.#takeItems(call, outcome.items, nowMs);
        break;
      case "notRun":
        noteNotRun(call, outcome.reason, nowMs);
        this.#returnItems(call);
        break;
      case "unknown":
        if (call.isOverdue) call.batchServer.noteUnreachable(nowMs);
        call.batchServer.suspend(nowMs);
        this.#returnItems(call);
        break;
    }
  }

  /** Looks for overdue calls, dropped results and hopeless jobs. */
  tick(nowMs: number): void {
    for (const call of this.#calls.values()) checkOverdue(call, nowMs);
    for (const held of this.#held.takeLapsed(nowMs + LAPSE_MARGIN_MS)) {
      this.#noteLost([held.result]);
      this.#servers.get(held.result.maker)?.freeRoom(held.bytes);
    }
    this.refuseHopeless(nowMs);
  }

  /** All that the server held or worked on is lost. */
  noteServerEnded(id: BackendServerId, nowMs: number): void {
    const lost = this.#held.takeMadeBy(id).map((held) => held.result);
    this.#noteLost(lost);
    for (const call of [...this.#calls.values()]) {
      if (call.server.id !== id) continue;
      this.endCall(call.id, { kind: "unknown", detail: "ended" }, nowMs);
    }
    this.#servers.forget(id);
  }

  refuseHopeless(nowMs: number): void {
    const hopeless = findHopeless({
      jobs: this.#jobs.values(),
      estimates: this.#estimates,
      capacityOf: (service) => this.#servers.capacityOf(service, nowMs),
      nowMs,
    });
    for (const { job, reason, retryAfterMs } of hopeless) {
      if (job.items.flat().some((item) => item.state.kind === "running")) {
        if (nowMs <= job.deadlineAtMs) continue;
      }
      this.#refuse(job, { kind: "refused", reason, retryAfterMs });
    }
  }

  #planFor(service: ServiceName, nowMs: number): StageCall[] {
    const servers = this.#servers.reachable(service, nowMs);
    const idle = servers.filter((server) => server.canStart(nowMs));
    if (idle.length === 0) return [];
    const busy = servers.filter((server) => !idle.includes(server));
    const nextFreeAtMs = busy.length === 0
      ? undefined
      : Math.min(...busy.map((server) => server.likelyFreeAtMs));
    const { plan = planBatches } = this.#options;
    return plan({
      service,
      idle,
      dataCentres: new Set(
        servers.filter((server) => server.isSound(nowMs))
          .map(({ server }) => server.dataCentre),
      ),
      nextFreeAtMs,
      jobs: this.#jobs.values(),
      estimates: this.#estimates,
      nowMs,
    }).flatMap((batch) => this.#start(service, batch, nowMs));
  }

  #start(
    service: ServiceName,
    batch: PlannedBatch,
    nowMs: number,
  ): StageCall[] {
    const entries = batch.entries.filter((entry) =>
      this.#maySend(entry, service, nowMs)
    );
    if (entries.length === 0) return [];
    this.#lastCallId += 1;
    const id = this.#lastCallId;
    const call: OpenCall = {
      id,
      service,
      server: batch.server.server,
      entries,
      startedAtMs: nowMs,
      batchServer: batch.server,
      overdueAtMs: nowMs + batch.server.overdueMs(entries.length, nowMs),
      isOverdue: false,
    };
    for (const { item } of entries) {
      item.state = { kind: "running", callId: id };
      item.sendCount += 1;
    }
    batch.server.startCall(entries.length, roomOf(entries), nowMs);
    this.#calls.set(id, call);
    return [call];
  }

  #maySend(entry: BatchEntry, service: ServiceName, nowMs: number): boolean {
    if (entry.job.isEnded) return false;
    if (entry.item.sendCount === 0) return true;
    const budget = this.#options.retryBudgetOf(service);
    if (entry.item.sendCount < MAX_ITEM_SENDS && budget.tryRepeat(nowMs)) {
      return true;
    }
    this.#refuse(entry.job, {
      kind: "refused",
      reason: "noServer",
      retryAfterMs: this.#estimates.likelyCallMs(service),
    });
    return false;
  }

  #takeItems(
    call: OpenCall,
    outcomes: readonly ItemOutcome[],
    nowMs: number,
  ): void {
    const durationMs = nowMs - call.startedAtMs;
    const wasWorkedOn = outcomes.some((outcome) => outcome.kind === "made");
    if (wasWorkedOn) {
      call.batchServer.noteDuration(call.entries.length, durationMs, nowMs);
      this.#estimates.noteCall(call.service, durationMs);
    }
    const unused: ResultReference[] = [];
    const lapsesAtMs = nowMs + call.batchServer.limits.resultKeptMs;
    for (const [place, entry] of call.entries.entries()) {
      const outcome = outcomes[place] ??
        { kind: "failed", reason: "error" };
      if (outcome.kind === "made") {
        const result = {
          reference: outcome.reference,
          maker: call.server.id,
          dataCentre: call.server.dataCentre,
        };
        if (!this.#takeResult(entry, result, lapsesAtMs)) unused.push(result);
      } else this.#takeFailure(call, entry, outcome.reason);
    }
    this.#free(unused);
    const unplaced = call.entries
      .filter((_, place) => isNoRoom(outcomes[place]));
    if (unplaced.length > 0) {
      call.batchServer.noteNoRoom(roomOf(unplaced), nowMs);
    }
    const jobs = new Set(call.entries.map((entry) => entry.job));
    for (const job of jobs) this.#completeIfDone(job);
  }

  /** False when nothing needs the result. */
  #takeResult(
    entry: BatchEntry,
    result: ResultReference,
    lapsesAtMs: number,
  ): boolean {
    const { job, item } = entry;
    const bytes = job.stage(item.stage).resultBytes;
    this.#held.add({ result, bytes, lapsesAtMs });
    if (job.isEnded || item.state.kind === "done") return false;
    item.state = { kind: "done", result, lapsesAtMs };
    this.#freeUsedInputs(job, item.stage);
    return true;
  }

  #takeFailure(
    call: OpenCall,
    entry: BatchEntry,
    reason: ItemFailure,
  ): void {
    const { job, item } = entry;
    call.batchServer.freeRoom(job.stage(item.stage).resultBytes);
    returnItem(call, item);
    switch (reason) {
      case "noRoom":
        // It wasn't worked on.
        item.sendCount -= 1;
        break;
      case "inputGone":
        // Which input is gone isn't told, so all are made again.
        this.#noteLost(job.inputsOf(item.stage));
        break;
      case "outOfTime":
      case "error":
        break;
    }
  }

  /** Gives back the results that the finished stage took as its inputs. */
  #freeUsedInputs(job: StageJob, stage: number): void {
    if (!job.isStageDone(stage)) return;
    for (const before of job.stage(stage).after) {
      if (!job.isResultNeeded(before)) this.#free(job.resultsOf(before));
    }
  }

  #returnItems(call: OpenCall): void {
    call.batchServer.freeRoom(roomOf(call.entries));
    for (const { item } of call.entries) returnItem(call, item);
  }

  #noteLost(results: readonly ResultReference[]): void {
    if (results.length === 0) return;
    const lost = new Set(results.map((result) => result.reference));
    for (const job of this.#jobs.values()) job.loseResults(lost);
  }

  #completeIfDone(job: StageJob): void {
    if (job.isEnded || !job.isComplete()) return;
    job.isEnded = true;
    this.#jobs.delete(job.id);
    this.#completed.set(job.id, job);
    this.#tellCompleted(job);
  }

  #tellCompleted(job: StageJob): void {
    this.#options.onEnded(job, {
      kind: "completed",
      results: job.finalResults(),
    });
  }

  #refuse(job: StageJob, outcome: StageGraphOutcome): void {
    if (job.isEnded) return;
    this.#drop(job);
    this.#options.onEnded(job, outcome);
  }

  #drop(job: StageJob): void {
    job.isEnded = true;
    this.#jobs.delete(job.id);
    this.#completed.delete(job.id);
    this.#free(
      [...job.graph.stages.keys()].flatMap((stage) => job.resultsOf(stage)),
    );
  }

  #free(results: readonly ResultReference[]): void {
    for (const [maker, held] of this.#held.takeByMaker(results)) {
      const bytes = held.reduce((sum, one) => sum + one.bytes, 0);
      this.#servers.get(maker)?.freeRoom(bytes);
      const server = this.#options.register.get(maker);
      if (server === undefined) continue;
      this.#options.onFree(server, held.map(({ result }) => result));
    }
  }
}
