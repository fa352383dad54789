/**
 * Forwards a request whose response is a stream of numbered events.
 *
 * Each event is forwarded as soon as it is complete. If the route is resumable, a
 * stream that breaks is resumed at another backend server after the last
 * forwarded event; one that is silent is also sent to another server.
 *
 * @module
 */

import { pollSockets } from "../http/poll_sockets.js";
import { assignWithMemory } from "./assign_with_memory.js";
import type { ForwardContext, ForwardOutcome } from "./forward_context.js";
import {
  replyAtLifetimeEnd,
  replyLocally,
  sendResponse,
} from "./forward_buffered.js";
import { prepareInputs } from "./prepare_inputs.js";
import { ReplacementPlacer } from "./replacement_placer.js";
import { MAX_REFUSALS } from "./replacement_policy.js";
import { mayRetryAfterCrash, refusePoisonPart } from "./refuse_poison_part.js";
import { resolveResumption } from "./resolve_resumption.js";
import type { LocalReply } from "./routed_request.js";
import type { StreamCall } from "./stream_call.js";
import { StreamRelay, type StreamResult } from "./stream_relay.js";
import {
  beginRun,
  canPlace,
  isResumable,
  makeStreamState,
  recordBegin,
  recordDropped,
  recordRefusal,
  releaseInputs,
  spendRetry,
  type StreamState,
  toPlacement,
} from "./stream_state.js";

/** Result of a call, or the reply to a request that must not be sent. */
type AttemptOutcome =
  | StreamResult
  | { readonly kind: "refused"; readonly reply: LocalReply }
  /** No engine has enough memory left. */
  | { readonly kind: "full" };

const SERVERS_FULL_RETRY_AFTER_MS = 250;

export async function forwardStream(
  admitted: ForwardContext,
): Promise<ForwardOutcome> {
  const resumption = await resolveResumption(admitted);
  if (resumption.kind === "refused") {
    return replyLocally(admitted, resumption.reply);
  }
  const origin = resumption.kind === "found" ? resumption.origin : undefined;
  const context = {
    ...admitted,
    service: origin?.service ?? admitted.service,
  };
  const { environment, lifetime } = context;
  const state = makeStreamState(context, origin);
  environment.directory.retryBudgetOf(context.service)
    .recordRequest(environment.clock.nowMs());
  try {
    return await runAttempts(context, state);
  } finally {
    releaseInputs(state);
    lifetime.close();
  }
}

async function runAttempts(
  context: ForwardContext,
  state: StreamState,
): Promise<ForwardOutcome> {
  for (;;) {
    const refusal = refusePoisonPart(context);
    if (refusal !== undefined) return refuse(context, state, refusal);
    if (!canPlace(context, state)) {
      return giveUp(context, state, "noServerOfVersion");
    }
    const inputsOutcome = await ensureInputs(context, state);
    if (inputsOutcome !== undefined) return inputsOutcome;
    await pollSockets();
    if (context.lifetime.end !== undefined) {
      return finishAtLifetimeEnd(context, state);
    }
    const result = await runAttempt(context, state);
    const outcome = handleResult(context, state, result);
    if (outcome !== undefined) return outcome;
  }
}

/** Prepares missing inputs; returns the final outcome if that fails. */
async function ensureInputs(
  context: ForwardContext,
  state: StreamState,
): Promise<ForwardOutcome | undefined> {
  if (state.inputs !== undefined) return undefined;
  const outcome = await prepareInputs(context, state);
  switch (outcome.kind) {
    case "prepared":
      state.inputs = outcome.inputs;
      return undefined;
    case "refused":
      if (state.runs === 0) return replyLocally(context, outcome.reply);
      return giveUp(context, state, "stages");
    case "ended":
      return finishAtLifetimeEnd(context, state);
  }
}

function handleResult(
  context: ForwardContext,
  state: StreamState,
  result: AttemptOutcome | undefined,
): ForwardOutcome | undefined {
  if (result === undefined) return giveUp(context, state, "noServer");
  switch (result.kind) {
    case "complete":
      return { kind: "answered", status: 200 };
    case "answered":
      return sendResponse(context, result);
    case "refused":
      return refuse(context, state, result.reply);
    case "full":
      return giveUp(context, state, "engineMemoryFull");
    case "ended":
      return finishAtLifetimeEnd(context, state);
    case "notRun":
    case "notSent":
      recordRefusal(state);
      if (result.kind === "notRun" && result.isInputGone) releaseInputs(state);
      if (state.refusals > MAX_REFUSALS || !spendRetry(context)) {
        return giveUp(context, state, result.kind);
      }
      return undefined;
    case "broken":
      if (
        !isResumable(context) || state.runs >= context.route.maxAttempts
      ) {
        return giveUp(context, state, result.detail);
      }
      if (state.hasCrashedServer && !mayRetryAfterCrash(context)) {
        return giveUp(context, state, "serverCrashed");
      }
      if (!spendRetry(context)) return giveUp(context, state, "retryBudget");
      context.environment.metrics.countRetry(context.service, "streamBroken");
      context.environment.logger.info("streamResumed", {
        request: context.request.attemptId,
        after: state.lastEventId,
        cause: result.detail,
      });
      return undefined;
  }
}

async function runAttempt(
  context: ForwardContext,
  state: StreamState,
): Promise<AttemptOutcome | undefined> {
  const candidate = await assignWithMemory(context, {
    placement: toPlacement(context, state),
    hasRun: state.runs > 0 || state.isHeadSent,
  });
  if (candidate === undefined) return undefined;
  if (candidate === "full") return { kind: "full" };
  if (candidate === "ended") return { kind: "ended" };
  if (context.lifetime.end !== undefined) {
    candidate.permit?.giveBack();
    return { kind: "ended" };
  }
  const refusal = refusePoisonPart(context);
  if (refusal !== undefined) {
    candidate.permit?.giveBack();
    return { kind: "refused", reply: refusal };
  }
  return StreamRelay.run({
    context,
    progress: state,
    replacements: new ReplacementPlacer(context, state),
    onEvents: (call) => {
      if (!call.hasEvents) recordFirstEvent(context, state, call);
      // The call has consumed its inputs, and no other one is open.
      releaseInputs(state);
    },
    onDropped: (cause) => {
      recordDropped(state, cause);
    },
  }, beginRun(context, state, candidate));
}

function recordFirstEvent(
  context: ForwardContext,
  state: StreamState,
  call: StreamCall,
): void {
  const { clock, routeStatistics } = context.environment;
  const afterMs = clock.nowMs() - call.startedAtMs;
  routeStatistics.recordFirstByte(context.route.name, afterMs);
  recordBegin(context, state, call.candidate.server);
}

/** Ends a request that must not be sent to a server, or not to another one. */
function refuse(
  context: ForwardContext,
  state: StreamState,
  reply: LocalReply,
): ForwardOutcome {
  return state.runs === 0 && !state.isHeadSent
    ? replyLocally(context, reply)
    : giveUp(context, state, "poisonPart");
}

/** Ends a request that can't be retried. */
function giveUp(
  context: ForwardContext,
  state: StreamState,
  detail: string,
): ForwardOutcome {
  if (state.isHeadSent) {
    context.channel.abort();
    return { kind: "brokenOff", detail };
  }
  if (state.runs > 0) return replyLocally(context, { kind: "failed", detail });
  const { directory } = context.environment;
  const isFull = detail === "engineMemoryFull";
  return replyLocally(context, {
    kind: "refused",
    reason: state.triedServers.size === 0 && !isFull
      ? "noServer"
      : "serversFull",
    retryAfterMs: Math.max(
      SERVERS_FULL_RETRY_AFTER_MS,
      directory.availableInMs(context.service),
      isFull ? directory.memoryRetryAfterMs(context.service) : 0,
    ),
    detail: `No server could take the request: ${detail}`,
  });
}

function finishAtLifetimeEnd(
  context: ForwardContext,
  state: StreamState,
): ForwardOutcome {
  const { end } = context.lifetime;
  if (!state.isHeadSent || end === "clientGone") {
    return replyAtLifetimeEnd(context, state.runs > 0);
  }
  context.channel.abort();
  return { kind: "brokenOff", detail: end ?? "" };
}
