/**
 * Chooses what goes into the next batched call of a service.
 *
 * Load pattern: calls cost far more than the items in them, and bursts ask for
 * more items than all calls hold. Work that can still be on time goes first,
 * by worth for each millisecond of server time; the places that are left go
 * to work that is late already but still of use.
 *
 * @module
 */

import type { DataCentreName, ServiceName } from "@sassafrasstage/protocol/ids";
import { type BatchServer, SLOW_FROM } from "./batch_server.js";
import { compareRanks, type JobRank, rankJob } from "./job_rank.js";
import { crossingBytes, waitsForNear } from "./near_inputs.js";
import type { StageItem, StageJob } from "./stage_job.js";
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
  /** Data centres that have sound servers of the service. */
  readonly dataCentres: ReadonlySet<DataCentreName>;
  /** When a server of nominal speed will next be free, if one is busy. */
  readonly nextFreeAtMs: number | undefined;
  readonly jobs: Iterable<StageJob>;
  readonly estimates: WorkEstimates;
  readonly nowMs: number;
}

/** Part of a full call that has to wait before no server is spared. */
const CROWDED_FROM = 0.5;
/** How much longer a call may take to spare a megabyte the way across. */
const CROSSING_MS_FOR_MB = 60;
const LONGEST_CROSSING_MS = 150;
/** A stage that nothing follows starts this many of its calls early. */
const EARLY_CALLS = 1.5;

interface BatchPlan extends BatchPlanInput {
  /** No server may stand idle for the sake of nearness. */
  readonly isCrowded: boolean;
}

interface RankedGroup extends WaitingGroup, JobRank {}

/**
 * Plans one call for each idle server for which there is work.
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
  const plan = { ...input, isCrowded: isCrowded(input, groups) };
  while (idle.length > 0) {
    const choice = chooseServer(plan, groups, idle);
    if (choice === undefined) break;
    idle.splice(idle.indexOf(choice), 1);
    const taken = fillBatch(plan, groups, choice);
    if (taken.length === 0) continue;
    batches.push({ server: choice, entries: taken });
    const gone = new Set(taken.map((entry) => entry.item));
    groups = withoutItems(groups, gone);
  }
  return batches;
}

/** Whether a good part of a whole call waits. */
function isCrowded(
  input: BatchPlanInput,
  groups: readonly RankedGroup[],
): boolean {
  const [server] = input.idle;
  if (server === undefined) return true;
  const waiting = groups.reduce((sum, group) => sum + group.items.length, 0);
  return waiting > server.limits.maxItems * CROWDED_FROM;
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
    ...rankJob(job, { estimates, pathMs, nowMs }),
  };
}

/**
 * Results take room until they are used. A stage that nothing follows waits
 * while the job's other stages need much longer than it does.
 */
function isTooEarly(
  input: BatchPlanInput,
  job: StageJob,
  stage: number,
): boolean {
  if (job.followersOf(stage).length > 0) return false;
  const ownMs = input.estimates.likelyCallMs(input.service);
  return input.estimates.remainingPathMs(job) > ownMs * (1 + EARLY_CALLS);
}

/** The best server for the first group that any idle server is good for. */
function chooseServer(
  input: BatchPlan,
  groups: readonly RankedGroup[],
  idle: readonly BatchServer[],
): BatchServer | undefined {
  for (const group of groups) {
    const choice = bestServerFor(input, group, idle);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

/** The server that ends the group's call first, near its inputs. */
function bestServerFor(
  input: BatchPlan,
  group: RankedGroup,
  idle: readonly BatchServer[],
): BatchServer | undefined {
  let best: BatchServer | undefined;
  let bestMs = Infinity;
  for (const server of idle) {
    if (waitsFor(input, group, server)) continue;
    const { dataCentre } = server.server;
    const crossingMs = CROSSING_MS_FOR_MB / 1_000_000 *
      crossingBytes(group.job, group.stage, dataCentre);
    const costMs = server.estimateMs(group.items.length, input.nowMs) +
      Math.min(LONGEST_CROSSING_MS, crossingMs);
    if (costMs >= bestMs) continue;
    best = server;
    bestMs = costMs;
  }
  return best;
}

function waitsFor(
  input: BatchPlan,
  group: RankedGroup,
  server: BatchServer,
): boolean {
  if (input.isCrowded) return false;
  return waitsForNear(group.job, group.stage, {
    dataCentre: server.server.dataCentre,
    dataCentres: input.dataCentres,
    pathMs: input.estimates.pathFromMs(group.job, group.stage),
    nowMs: input.nowMs,
  });
}

function fillBatch(
  input: BatchPlan,
  groups: readonly RankedGroup[],
  server: BatchServer,
): BatchEntry[] {
  const entries: BatchEntry[] = [];
  let roomBytes = server.freeRoomBytes(input.nowMs);
  let latestEndMs = Infinity;
  for (const group of groups) {
    if (waitsFor(input, group, server)) continue;
    const { resultBytes } = group.job.stage(group.stage);
    const placesLeft = server.limits.maxItems - entries.length;
    if (placesLeft <= 0) break;
    const count = countThatFits(group, { placesLeft, roomBytes, server });
    if (count === 0) continue;
    const endMs = input.nowMs +
      server.estimateMs(entries.length + count, input.nowMs);
    if (endMs > latestEndMs) continue;
    const place = placeGroup(input, group, { endMs, server });
    if (place === "skip") continue;
    if (place === "onTime") {
      const pathMs = input.estimates.pathAfterMs(group.job, group.stage);
      latestEndMs = Math.min(latestEndMs, group.job.lateAtMs - pathMs);
    }
    roomBytes -= count * resultBytes;
    for (const item of group.items.slice(0, count)) {
      entries.push({ job: group.job, item });
    }
  }
  return entries;
}

interface Space {
  readonly placesLeft: number;
  readonly roomBytes: number;
  readonly server: BatchServer;
}

/** Whole groups only, unless one is too large for any call. */
function countThatFits(group: RankedGroup, space: Space): number {
  const { resultBytes } = group.job.stage(group.stage);
  const wanted = group.items.length;
  const fits = Math.min(
    space.placesLeft,
    resultBytes > 0 ? Math.floor(space.roomBytes / resultBytes) : Infinity,
  );
  if (wanted <= fits) return wanted;
  const { limits } = space.server;
  const mostAtOnce = Math.min(
    limits.maxItems,
    resultBytes > 0
      ? Math.floor(limits.resultRoomBytes / resultBytes)
      : Infinity,
  );
  return wanted > mostAtOnce / 2 ? Math.max(0, fits) : 0;
}

function placeGroup(
  input: BatchPlanInput,
  group: RankedGroup,
  call: { readonly endMs: number; readonly server: BatchServer },
): "onTime" | "late" | "skip" {
  const { job } = group;
  const { endMs, server } = call;
  const afterMs = input.estimates.pathAfterMs(job, group.stage);
  if (endMs + afterMs <= job.lateAtMs) return "onTime";
  if (endMs + afterMs > job.deadlineAtMs) return "skip";
  if (group.isOnTime && server.slowness(input.nowMs) > SLOW_FROM) {
    const pathMs = input.estimates.pathFromMs(job, group.stage);
    const nextMs = input.nextFreeAtMs ?? Infinity;
    if (nextMs + pathMs <= job.lateAtMs) return "skip";
  }
  return "late";
}

function withoutItems(
  groups: readonly RankedGroup[],
  gone: ReadonlySet<StageItem>,
): RankedGroup[] {
  return groups
    .map((group) => ({
      ...group,
      items: group.items.filter((item) => !gone.has(item)),
    }))
    .filter((group) => group.items.length > 0);
}
