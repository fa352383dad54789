/**
 * Runs one attempt of a stage. If an idempotent call to a plain service, usually
 * a short lookup, is slow and the pipeline's urgency is `counter`, a second call
 * (a hedge) is sent to another backend server.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type AttemptId, toId } from "@sassafrasstage/protocol/ids";
import { acquirePermit } from "./acquire_permit.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import { callWithPermit, type GrantedAttempt } from "./call_with_permit.js";
import type { FinishedCall, GrantedServer, StageRun } from "./stage_run.js";

const MIN_HEDGE_DELAY_MS = 5;

/** The call whose result is used, and the server that it ran on. */
export interface FinishedAttempt extends FinishedCall {
  readonly granted: GrantedServer;
}

/**
 * Resolves with the first completed call, or with the failure of the first call
 * if no call completes.
 *
 * @example
 * ```ts
 * const finished = await runAttempt(environment, run, { granted, attemptId });
 * ```
 */
export async function runAttempt(
  environment: PipelineEnvironment,
  run: StageRun,
  attempt: GrantedAttempt,
): Promise<FinishedAttempt> {
  const first = callGrantedServer(environment, run, attempt);
  const delayMs = hedgeDelayMs(environment, run);
  if (delayMs === undefined) return await first;
  const hedgeTimer = new AbortController();
  const hedgeDelayElapsed = sleep(delayMs, true, { signal: hedgeTimer.signal })
    .catch(() => false);
  const raceResult = await Promise.race([first, hedgeDelayElapsed]);
  hedgeTimer.abort();
  if (typeof raceResult !== "boolean") return raceResult;
  const firstEnded = new AbortController();
  void first.then(() => {
    firstEnded.abort();
  });
  const second = await startHedge(environment, run, {
    attempt,
    firstEnded: firstEnded.signal,
  });
  if (second === undefined) return await first;
  return await firstCompleted(environment, first, second.finished);
}

/** Undefined if the attempt must not be hedged or no estimate exists yet. */
function hedgeDelayMs(
  environment: PipelineEnvironment,
  run: StageRun,
): number | undefined {
  const { pipeline } = run.request;
  const isHedgeable = run.stage.idempotent && run.service.kind === "plain" &&
    pipeline.urgency === "counter";
  if (!isHedgeable) return undefined;
  const slowMs = environment.estimates.slowMs(
    { pipeline: pipeline.name, stage: run.stage.name },
    environment.clock.nowMs(),
  );
  return slowMs === 0 ? undefined : Math.max(MIN_HEDGE_DELAY_MS, slowMs);
}

async function callGrantedServer(
  environment: PipelineEnvironment,
  run: StageRun,
  attempt: GrantedAttempt,
): Promise<FinishedAttempt> {
  const finished = await callWithPermit(environment, run, attempt);
  return { ...finished, granted: attempt.granted };
}

interface HedgeRequest {
  readonly attempt: GrantedAttempt;
  readonly firstEnded: AbortSignal;
}

interface StartedHedge {
  readonly finished: Promise<FinishedAttempt>;
}

async function startHedge(
  environment: PipelineEnvironment,
  run: StageRun,
  hedge: HedgeRequest,
): Promise<StartedHedge | undefined> {
  const service = run.service.name;
  if (!environment.retryBudget.tryWithdraw(service)) return undefined;
  const attemptId = toId<AttemptId>(randomUUID());
  const acquired = await acquirePermit(environment, {
    run,
    attemptId,
    excluded: [hedge.attempt.granted.permit.backendServerId],
    signal: AbortSignal.any([run.lifetime.abortSignal, hedge.firstEnded]),
  });
  if (acquired.kind === "refused") return undefined;
  environment.metrics.countRetry(service, "hedge");
  return {
    finished: callGrantedServer(environment, run, {
      granted: acquired.granted,
      attemptId,
    }),
  };
}

async function firstCompleted(
  environment: PipelineEnvironment,
  first: Promise<FinishedAttempt>,
  second: Promise<FinishedAttempt>,
): Promise<FinishedAttempt> {
  const earlier = await Promise.race([first, second]);
  if (earlier.result.kind === "failed") return await awaitBoth(first, second);
  void Promise.all([first, second]).then((both) => {
    if (both.every((attempt) => attempt.result.kind === "completed")) {
      environment.metrics.countDrop("doubledResult");
    }
  });
  return earlier;
}

async function awaitBoth(
  first: Promise<FinishedAttempt>,
  second: Promise<FinishedAttempt>,
): Promise<FinishedAttempt> {
  const both = await Promise.all([first, second]);
  return both.find((attempt) => attempt.result.kind === "completed") ?? both[0];
}
