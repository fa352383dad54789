/**
 * Selects the items of the next batched calls of a service.
 *
 * Load pattern: a call costs far more than the items in it, and bursts bring
 * more items than fit into all calls. Work that can still be on time goes
 * first, ordered by worth per millisecond of server time; the remaining slots
 * go to work that is late but can still meet its deadline.
 *
 * @module
 */

import type { DataCentreName, ServiceName } from "@sassafrasstage/protocol/ids";
import { type BatchServer, SLOW_THRESHOLD } from "./batch_server.js";
import type { CallerCostQueue } from "./caller_cost_queue.js";
import { compareRanks, type JobRank, rankJob } from "./job_rank.js";
import {
  crossDataCentreBytes,
  shouldWaitForNearServer,
} from "./data_locality.js";
import type { StageItem } from "./stage_item.js";
import type { StageJob } from "./stage_job.js";
import type { WorkEstimates } from "./work_estimates.js";

/** Waiting items of one stage of one job. */
export interface WaitingGroup {
  readonly job: StageJob;
  readonly stage: number;
  readonly items: readonly StageItem[];
}

export interface PlannedBatch {
  readonly server: BatchServer;
  readonly entries: readonly BatchEntry[];
}

export interface BatchEntry {
  readonly job: StageJob;
  readonly item: StageItem;
}

export interface BatchPlanInput {
  readonly service: ServiceName;
  /** Servers that can start a call now. */
  readonly idle: readonly BatchServer[];
  /** Data centres that have healthy servers of the service. */
  readonly dataCentres: ReadonlySet<DataCentreName>;
  /** Earliest expected time at which a busy server becomes free, if any. */
  readonly nextFreeAtMs: number | undefined;
  readonly jobs: Iterable<StageJob>;
  readonly estimates: WorkEstimates;
  readonly nowMs: number;
  /** Set with the policy `callerCost`. */
  readonly callerCost?: CallerCostQueue | undefined;
}

/** Fraction of a full call that has to be waiting to count as a backlog. */
const BACKLOG_FILL_THRESHOLD = 0.5;
/** Cost of sending a megabyte to another data centre, as added call time. */
const TRANSFER_COST_MS_PER_MB = 60;
const MAX_TRANSFER_COST_MS = 150;
/** A final stage starts early by this multiple of its expected call time. */
const FINAL_STAGE_LEAD_CALLS = 1.5;

interface BatchPlanContext extends BatchPlanInput {
  /** If set, no server stays idle to wait for one closer to the inputs. */
  readonly hasBacklog: boolean;
}

interface RankedGroup extends WaitingGroup, JobRank {}

/**
 * Plans at most one call for each idle server.
 *
 * @example
 * ```ts
 * for (const batch of planBatches(input)) send(batch);
 * ```
 */
export function planBatches(input: BatchPlanInput): PlannedBatch[] {
  const batches: PlannedBatch[] = [];
  const idle = [...input.idle];
  let groups = rankGroups(input);
  const context = { ...input, hasBacklog: hasBacklog(input, groups) };
  while (idle.length > 0) {
    const choice = chooseIdleServer(context, groups, idle);
    if (choice === undefined) break;
    idle.splice(idle.indexOf(choice), 1);
    const taken = fillBatch(context, groups, choice);
    if (taken.length === 0) continue;
    batches.push({ server: choice, entries: taken });
    const plannedItems = new Set(taken.map((entry) => entry.item));
    groups = withoutItems(groups, plannedItems);
  }
  return batches;
}

/** Whether enough items are waiting to fill a large part of a call. */
function hasBacklog(
  input: BatchPlanInput,
  groups: readonly RankedGroup[],
): boolean {
  const [server] = input.idle;
  if (server === undefined) return true;
  const waiting = groups.reduce((sum, group) => sum + group.items.length, 0);
  return waiting > server.limits.maxItems * BACKLOG_FILL_THRESHOLD;
}

function rankGroups(input: BatchPlanInput): RankedGroup[] {
  const groups: RankedGroup[] = [];
  for (const job of input.jobs) {
    for (const stage of job.readyStages()) {
      if (job.stage(stage).service !== input.service) continue;
      if (isTooEarly(input, job, stage)) continue;
      groups.push(rankGroup(input, job, stage));
    }
  }
  return groups.sort(compareRanks);
}

function rankGroup(
  input: BatchPlanInput,
  job: StageJob,
  stage: number,
): RankedGroup {
  const { estimates, nowMs } = input;
  const pathMs = estimates.pathFromMs(job, stage);
  return {
    job,
    stage,
    items: job.waitingItems(stage),
    ...rankJob(job, {
      estimates,
      pathMs,
      nowMs,
      callerCost: input.callerCost,
      decision: "delay",
      turnMs: estimates.expectedCallMs(input.service),
    }),
  };
}

/**
 * Whether to delay a final stage because the job's other stages need much
 * longer. Its results would take up memory at the server until they are used.
 */
function isTooEarly(
  input: BatchPlanInput,
  job: StageJob,
  stage: number,
): boolean {
  if (job.followersOf(stage).length > 0) return false;
  const ownMs = input.estimates.expectedCallMs(input.service);
  return input.estimates.remainingPathMs(job) >
    ownMs * (1 + FINAL_STAGE_LEAD_CALLS);
}

/** Returns the best server for the first group that any idle server can run. */
function chooseIdleServer(
  input: BatchPlanContext,
  groups: readonly RankedGroup[],
  idle: readonly BatchServer[],
): BatchServer | undefined {
  for (const group of groups) {
    const choice = findBestServer(input, group, idle);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

/** Returns the server with the lowest call time, including transfer costs. */
function findBestServer(
  input: BatchPlanContext,
  group: RankedGroup,
  idle: readonly BatchServer[],
): BatchServer | undefined {
  let best: BatchServer | undefined;
  let bestMs = Infinity;
  for (const server of idle) {
    if (shouldWaitForNearer(input, group, server)) continue;
    const { dataCentre } = server.server;
    const transferCostMs = TRANSFER_COST_MS_PER_MB / 1_000_000 *
      crossDataCentreBytes(group.job, group.stage, dataCentre);
    const costMs = server.estimateCallMs(group.items.length, input.nowMs) +
      Math.min(MAX_TRANSFER_COST_MS, transferCostMs);
    if (costMs >= bestMs) continue;
    best = server;
    bestMs = costMs;
  }
  return best;
}

function shouldWaitForNearer(
  input: BatchPlanContext,
  group: RankedGroup,
  server: BatchServer,
): boolean {
  if (input.hasBacklog) return false;
  return shouldWaitForNearServer(group.job, group.stage, {
    dataCentre: server.server.dataCentre,
    dataCentres: input.dataCentres,
    pathMs: input.estimates.pathFromMs(group.job, group.stage),
    nowMs: input.nowMs,
  });
}

function fillBatch(
  input: BatchPlanContext,
  groups: readonly RankedGroup[],
  server: BatchServer,
): BatchEntry[] {
  const entries: BatchEntry[] = [];
  let availableBytes = server.availableResultBytes(input.nowMs);
  let latestEndMs = Infinity;
  for (const group of groups) {
    if (shouldWaitForNearer(input, group, server)) continue;
    const { resultBytes } = group.job.stage(group.stage);
    const slotsLeft = server.limits.maxItems - entries.length;
    if (slotsLeft <= 0) break;
    const count = countFittingItems(group, {
      slotsLeft,
      availableBytes,
      server,
    });
    if (count === 0) continue;
    const endMs = input.nowMs +
      server.estimateCallMs(entries.length + count, input.nowMs);
    if (endMs > latestEndMs) continue;
    const timing = classifyTiming(input, group, { endMs, server });
    if (timing === "skip") continue;
    if (timing === "onTime") {
      const pathMs = input.estimates.pathAfterMs(group.job, group.stage);
      latestEndMs = Math.min(latestEndMs, group.job.objectiveAtMs - pathMs);
    }
    availableBytes -= count * resultBytes;
    for (const item of group.items.slice(0, count)) {
      entries.push({ job: group.job, item });
    }
  }
  return entries;
}

interface RemainingCapacity {
  readonly slotsLeft: number;
  readonly availableBytes: number;
  readonly server: BatchServer;
}

/** Splits a group only if it exceeds half of the largest possible call. */
function countFittingItems(
  group: RankedGroup,
  remaining: RemainingCapacity,
): number {
  const { resultBytes } = group.job.stage(group.stage);
  const wanted = group.items.length;
  const fitting = Math.min(
    remaining.slotsLeft,
    resultBytes > 0
      ? Math.floor(remaining.availableBytes / resultBytes)
      : Infinity,
  );
  if (wanted <= fitting) return wanted;
  const { limits } = remaining.server;
  const maxPerCall = Math.min(
    limits.maxItems,
    resultBytes > 0
      ? Math.floor(limits.resultRoomBytes / resultBytes)
      : Infinity,
  );
  return wanted > maxPerCall / 2 ? Math.max(0, fitting) : 0;
}

function classifyTiming(
  input: BatchPlanInput,
  group: RankedGroup,
  call: { readonly endMs: number; readonly server: BatchServer },
): "onTime" | "late" | "skip" {
  const { job } = group;
  const { endMs, server } = call;
  const afterMs = input.estimates.pathAfterMs(job, group.stage);
  if (endMs + afterMs <= job.objectiveAtMs) return "onTime";
  if (endMs + afterMs > job.deadlineAtMs) return "skip";
  if (group.isOnTime && server.slowdown(input.nowMs) > SLOW_THRESHOLD) {
    const pathMs = input.estimates.pathFromMs(job, group.stage);
    const nextFreeAtMs = input.nextFreeAtMs ?? Infinity;
    if (nextFreeAtMs + pathMs <= job.objectiveAtMs) return "skip";
  }
  return "late";
}

function withoutItems(
  groups: readonly RankedGroup[],
  plannedItems: ReadonlySet<StageItem>,
): RankedGroup[] {
  return groups
    .map((group) => ({
      ...group,
      items: group.items.filter((item) => !plannedItems.has(item)),
    }))
    .filter((group) => group.items.length > 0);
}
