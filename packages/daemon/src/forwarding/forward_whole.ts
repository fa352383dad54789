/**
 * Forwards a request whose answer is sent whole.
 *
 * Load pattern: small plain services with a tight objective, where single
 * servers are slow, silent or fail part of their requests. What may run twice
 * is sent to a second server as soon as the first one takes unusually long.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { makeDeferred } from "../deferred.js";
import type { ForwardContext, ForwardEnd } from "./forward_context.js";
import {
  type AttemptResult,
  type RunningAttempt,
  runWholeAttempt,
  type WholeAnswer,
} from "./run_attempt.js";
import type { OwnAnswer } from "./routed_request.js";

/** Part of the objective after which a second server is asked. */
const HEDGE_AT = 0.5;
/** A second server isn't asked before so many usual answer times. */
const HEDGE_LATENCIES = 3;
/** Time after which a full service is likely to have a place. */
const FULL_RETRY_AFTER_MS = 150;
/** Answers "not run" that one request looks for another server after. */
const MOST_REFUSALS = 3;

interface ForwardState {
  readonly tried: Set<BackendServerId>;
  readonly running: Set<RunningAttempt>;
  /** Calls that may have run. */
  runs: number;
  refusals: number;
  failureDetail: string;
  /** A server's own failure, passed on when nothing better comes. */
  serverError: WholeAnswer | undefined;
}

export async function forwardWhole(
  context: ForwardContext,
): Promise<ForwardEnd> {
  const state: ForwardState = {
    tried: new Set(),
    running: new Set(),
    runs: 0,
    refusals: 0,
    failureDetail: "",
    serverError: undefined,
  };
  context.environment.directory.retryBudgetOf(context.service)
    .noteRequest(context.environment.clock.nowMs());
  const { promise, stop } = lifetimeEnd(context);
  try {
    return await race(context, state, promise);
  } finally {
    stop();
    if (mayRepeat(context)) {
      for (const attempt of state.running) attempt.cancel();
    }
  }
}

type RaceEvent =
  | {
    readonly kind: "result";
    readonly attempt: RunningAttempt;
    readonly result: AttemptResult;
  }
  | { readonly kind: "hedge" }
  | { readonly kind: "ended" };

async function race(
  context: ForwardContext,
  state: ForwardState,
  ended: Promise<RaceEvent>,
): Promise<ForwardEnd> {
  if (!startAttempt(context, state)) return refuse(context, state);
  let mayHedge = mayRepeat(context);
  while (state.running.size > 0) {
    const event = await nextEvent(context, state, { ended, mayHedge });
    switch (event.kind) {
      case "ended":
        return endEarly(context, state.runs > 0);
      case "hedge":
        mayHedge = false;
        if (spendRepeat(context, state)) startAttempt(context, state);
        break;
      case "result": {
        state.running.delete(event.attempt);
        const answer = takeResult(context, state, event.result);
        if (answer !== undefined) return sendAnswer(context, answer);
        if (state.running.size === 0) tryAgain(context, state, event.result);
      }
    }
  }
  if (state.serverError !== undefined) {
    return sendAnswer(context, state.serverError);
  }
  return refuse(context, state);
}

async function nextEvent(
  context: ForwardContext,
  state: ForwardState,
  options: { readonly ended: Promise<RaceEvent>; readonly mayHedge: boolean },
): Promise<RaceEvent> {
  const results = [...state.running].map(async (
    attempt,
  ): Promise<RaceEvent> => ({
    kind: "result",
    attempt,
    result: await attempt.result,
  }));
  if (!options.mayHedge) return Promise.race([options.ended, ...results]);
  let timer: NodeJS.Timeout | undefined;
  const hedge = new Promise<RaceEvent>((resolve) => {
    timer = setTimeout(() => {
      resolve({ kind: "hedge" });
    }, hedgeDelayMs(context, state));
  });
  try {
    return await Promise.race([options.ended, hedge, ...results]);
  } finally {
    clearTimeout(timer);
  }
}

function hedgeDelayMs(context: ForwardContext, state: ForwardState): number {
  const { directory } = context.environment;
  const usual = [...state.tried]
    .map((id) => directory.healthOf(id).latencyMs ?? 0);
  return Math.max(
    context.route.objectiveMs * HEDGE_AT,
    HEDGE_LATENCIES * Math.max(0, ...usual),
  );
}

/** The answer to send, if this is one. */
function takeResult(
  context: ForwardContext,
  state: ForwardState,
  result: AttemptResult,
): WholeAnswer | undefined {
  switch (result.kind) {
    case "answered":
      if (result.answer.head.status < 500 || !mayRepeat(context)) {
        return result.answer;
      }
      state.serverError = result.answer;
      return undefined;
    case "notRun":
    case "notSent":
      state.runs -= 1;
      state.refusals += 1;
      return undefined;
    case "broken":
      state.failureDetail = result.detail;
      return undefined;
  }
}

function tryAgain(
  context: ForwardContext,
  state: ForwardState,
  result: AttemptResult,
): void {
  const hasNotRun = result.kind === "notRun" || result.kind === "notSent";
  if (!hasNotRun && !mayRepeat(context)) return;
  if (state.refusals > MOST_REFUSALS) return;
  if (spendRepeat(context, state)) startAttempt(context, state);
}

/** A call whose connection failed reached nobody and costs no repeat. */
function spendRepeat(context: ForwardContext, state: ForwardState): boolean {
  if (state.runs >= context.route.maxAttempts) return false;
  const { directory, clock, metrics } = context.environment;
  const isAllowed = directory.retryBudgetOf(context.service)
    .tryRepeat(clock.nowMs());
  if (isAllowed) metrics.countRetry(context.service, "failed");
  else metrics.countEvent("retryBudgetSpent");
  return isAllowed;
}

function startAttempt(context: ForwardContext, state: ForwardState): boolean {
  const { directory, dataCentre, clock } = context.environment;
  const candidate = directory.pick({
    service: context.service,
    dataCentre,
    prefixKey: undefined,
    excluded: state.tried,
  }, clock.nowMs());
  if (candidate === undefined) return false;
  state.tried.add(candidate.server.id);
  state.runs += 1;
  state.running.add(runWholeAttempt({
    context,
    candidate,
    inputs: undefined,
    resumeAfter: undefined,
  }));
  return true;
}

function mayRepeat(context: ForwardContext): boolean {
  return context.route.repeatability.kind === "idempotent";
}

export function sendAnswer(
  context: ForwardContext,
  answer: WholeAnswer,
): ForwardEnd {
  const { channel } = context;
  channel.writeHead(answer.head);
  if (answer.body.length > 0) channel.write(answer.body);
  channel.end();
  return { kind: "answered", status: answer.head.status };
}

function refuse(context: ForwardContext, state: ForwardState): ForwardEnd {
  const own: OwnAnswer = state.runs > 0
    ? { kind: "failed", detail: state.failureDetail }
    : {
      kind: "refused",
      reason: state.tried.size === 0 ? "noServer" : "serversFull",
      retryAfterMs: FULL_RETRY_AFTER_MS,
      detail: "No server could take the request",
    };
  return sendOwn(context, own);
}

export function sendOwn(context: ForwardContext, own: OwnAnswer): ForwardEnd {
  context.channel.answer(own);
  return {
    kind: "own",
    answer: own.kind === "refused" ? own.reason : own.kind,
    detail: own.kind === "timedOut" ? "" : own.detail,
  };
}

/** The answer to a request whose lifetime ended without one. */
export function endEarly(
  context: ForwardContext,
  mayHaveRun: boolean,
): ForwardEnd {
  switch (context.lifetime.end) {
    case "clientGone":
      return { kind: "clientGone" };
    case "processEnding":
      return sendOwn(
        context,
        mayHaveRun ? { kind: "failed", detail: "processEnding" } : {
          kind: "refused",
          reason: "leaving",
          retryAfterMs: FULL_RETRY_AFTER_MS,
          detail: "This VM ends before the request ran",
        },
      );
    case "timeUp":
    case undefined:
      return sendOwn(context, { kind: "timedOut" });
  }
}

function lifetimeEnd(
  context: ForwardContext,
): { readonly promise: Promise<RaceEvent>; readonly stop: () => void } {
  const ended = makeDeferred<RaceEvent>();
  const stop = context.lifetime.onEnd(() => {
    ended.resolve({ kind: "ended" });
  });
  return { promise: ended.promise, stop };
}
