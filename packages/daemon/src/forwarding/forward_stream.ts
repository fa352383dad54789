/**
 * Forwards a request whose answer is a stream of numbered events.
 *
 * Events are passed on whole and as they come. Where the route allows it, a
 * stream that breaks or falls silent goes on at another backend server after
 * the last event that was passed on.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { ForwardContext, ForwardEnd } from "./forward_context.js";
import { endEarly, sendAnswer, sendOwn } from "./forward_whole.js";
import { placementNeedOf } from "./placement_need.js";
import { type PreparedInputs, prepareInputs } from "./prepare_inputs.js";
import {
  type StreamProgress,
  StreamRelay,
  type StreamResult,
} from "./stream_relay.js";

/** Answers "not run" that one request looks for another server after. */
const MOST_REFUSALS = 3;
const FULL_RETRY_AFTER_MS = 250;

interface StreamState extends StreamProgress {
  readonly tried: Set<BackendServerId>;
  readonly relativeSize: number;
  inputs: PreparedInputs | undefined;
  /** Calls that may have run. */
  runs: number;
  refusals: number;
}

export async function forwardStream(
  context: ForwardContext,
): Promise<ForwardEnd> {
  const { environment, request, route, lifetime } = context;
  const state: StreamState = {
    tried: new Set(),
    relativeSize: environment.measures.relativeSize(route.name, request.prompt),
    inputs: undefined,
    runs: 0,
    refusals: 0,
    isHeadSent: false,
    endsWithConnection: false,
    lastEventId: request.resumeAfter,
  };
  environment.directory.retryBudgetOf(context.service)
    .noteRequest(environment.clock.nowMs());
  try {
    return await run(context, state);
  } finally {
    state.inputs?.release();
    lifetime.close();
  }
}

async function run(
  context: ForwardContext,
  state: StreamState,
): Promise<ForwardEnd> {
  for (;;) {
    const preparedEnd = await prepare(context, state);
    if (preparedEnd !== undefined) return preparedEnd;
    const result = await attempt(context, state);
    const end = judge(context, state, result);
    if (end !== undefined) return end;
  }
}

/** Sees to the inputs; returns the request's end when there won't be any. */
async function prepare(
  context: ForwardContext,
  state: StreamState,
): Promise<ForwardEnd | undefined> {
  if (state.inputs !== undefined) return undefined;
  const preparation = await prepareInputs(context, state.relativeSize);
  switch (preparation.kind) {
    case "prepared":
      state.inputs = preparation.inputs;
      return undefined;
    case "refused":
      if (state.runs === 0) return sendOwn(context, preparation.own);
      return giveUp(context, state, "stages");
    case "ended":
      return endStream(context, state);
  }
}

function judge(
  context: ForwardContext,
  state: StreamState,
  result: StreamResult | undefined,
): ForwardEnd | undefined {
  if (result === undefined) return giveUp(context, state, "noServer");
  switch (result.kind) {
    case "complete":
      return { kind: "answered", status: 200 };
    case "answered":
      return sendAnswer(context, result);
    case "ended":
      return endStream(context, state);
    case "notRun":
    case "notSent":
      state.runs -= 1;
      state.refusals += 1;
      if (result.kind === "notRun" && result.isInputGone) {
        state.inputs?.release();
        state.inputs = undefined;
      }
      if (state.refusals > MOST_REFUSALS || !spendRepeat(context)) {
        return giveUp(context, state, result.kind);
      }
      return undefined;
    case "broken":
      if (!isResumable(context) || state.runs >= context.route.maxAttempts) {
        return giveUp(context, state, result.detail);
      }
      if (!spendRepeat(context)) return giveUp(context, state, "retryBudget");
      context.environment.metrics.countRetry(context.service, "streamBroken");
      context.environment.logger.info("streamResumed", {
        request: context.request.attemptId,
        after: state.lastEventId,
        cause: result.detail,
      });
      return undefined;
  }
}

function attempt(
  context: ForwardContext,
  state: StreamState,
): Promise<StreamResult> | undefined {
  const { environment, request } = context;
  const { directory, clock } = environment;
  const candidate = directory.pick(
    placementNeedOf(context, state.inputs?.dataCentre, state.tried),
    clock.nowMs(),
  );
  if (candidate === undefined) return undefined;
  state.tried.add(candidate.server.id);
  state.runs += 1;
  environment.logger.debug("placed", {
    request: request.attemptId,
    server: candidate.server.id,
    inFlight: candidate.health.inFlight,
  });
  return StreamRelay.run({
    attempt: {
      context,
      candidate,
      inputs: state.inputs?.references,
      resumeAfter: state.lastEventId,
    },
    progress: state,
    mayMove: isResumable(context) && state.runs < context.route.maxAttempts,
    onFirstEvent: (afterMs) => {
      environment.measures.noteFinish(context.route.name, afterMs);
      state.inputs?.release();
      state.inputs = undefined;
    },
  });
}

function isResumable(context: ForwardContext): boolean {
  const { repeatability } = context.route;
  return repeatability.kind === "stream" && repeatability.isResumable;
}

function spendRepeat(context: ForwardContext): boolean {
  const { directory, clock, metrics } = context.environment;
  const isAllowed = directory.retryBudgetOf(context.service)
    .tryRepeat(clock.nowMs());
  if (!isAllowed) metrics.countEvent("retryBudgetSpent");
  return isAllowed;
}

/** Ends a request for which no server is left. */
function giveUp(
  context: ForwardContext,
  state: StreamState,
  detail: string,
): ForwardEnd {
  if (state.isHeadSent) {
    context.channel.abort();
    return { kind: "brokenOff", detail };
  }
  if (state.runs > 0) return sendOwn(context, { kind: "failed", detail });
  return sendOwn(context, {
    kind: "refused",
    reason: state.tried.size === 0 ? "noServer" : "serversFull",
    retryAfterMs: FULL_RETRY_AFTER_MS,
    detail: `No server could take the request: ${detail}`,
  });
}

function endStream(context: ForwardContext, state: StreamState): ForwardEnd {
  const { end } = context.lifetime;
  if (!state.isHeadSent || end === "clientGone") {
    return endEarly(context, state.runs > 0);
  }
  context.channel.abort();
  return { kind: "brokenOff", detail: end ?? "" };
}
