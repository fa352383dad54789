/**
 * Forwards a request whose response is a stream of numbered events.
 *
 * Each event is forwarded as soon as it is complete. If the route is resumable, a
 * stream that breaks or stalls is resumed at another backend server after the
 * last forwarded event.
 *
 * @module
 */

import type {
  BackendServerId,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";
import { pollSockets } from "../http/poll_sockets.js";
import type { PlacementRequest } from "../placement/server_directory.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { ServerCandidate } from "../placement/choose_server.js";
import type { ForwardContext, ForwardOutcome } from "./forward_context.js";
import {
  replyAtLifetimeEnd,
  replyLocally,
  sendResponse,
} from "./forward_buffered.js";
import { placementRequestOf } from "./placement_request.js";
import { type PreparedInputs, prepareInputs } from "./prepare_inputs.js";
import { mayRetryAfterCrash, refusePoisonPart } from "./refuse_poison_part.js";
import { resolveResumption } from "./resolve_resumption.js";
import type { LocalReply } from "./routed_request.js";
import {
  type StreamProgress,
  StreamRelay,
  type StreamResult,
} from "./stream_relay.js";

/** Result of a call, or the reply to a request that must not be sent. */
type AttemptOutcome =
  | StreamResult
  | { readonly kind: "refused"; readonly reply: LocalReply };

/** Maximum number of not-run attempts that are followed by another one. */
const MAX_REFUSALS = 3;
const SERVERS_FULL_RETRY_AFTER_MS = 250;

interface StreamState extends StreamProgress {
  readonly triedServers: Set<BackendServerId>;
  readonly relativeSize: number;
  /** Set once the stream has begun; it goes on only at this version. */
  softwareVersion: SoftwareVersion | undefined;
  inputs: PreparedInputs | undefined;
  /** Number of calls that may have run. */
  runs: number;
  refusals: number;
  /** A server has crashed during a call of this request. */
  hasCrashedServer: boolean;
}

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
    state.inputs?.release();
    lifetime.close();
  }
}

function makeStreamState(
  context: ForwardContext,
  origin: StreamOrigin | undefined,
): StreamState {
  const { environment, request, route } = context;
  return {
    triedServers: new Set(),
    relativeSize: environment.routeStatistics.relativeSize(
      route.name,
      request.prompt,
    ),
    softwareVersion: origin?.softwareVersion,
    inputs: undefined,
    runs: 0,
    refusals: 0,
    hasCrashedServer: false,
    isHeadSent: false,
    endsWithConnection: false,
    lastEventId: request.resumeAfter,
  };
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

/** False if a stream has begun and no server of its version is left. */
function canPlace(context: ForwardContext, state: StreamState): boolean {
  return state.softwareVersion === undefined ||
    context.environment.directory.hasServer(toPlacement(context, state));
}

function toPlacement(
  context: ForwardContext,
  state: StreamState,
): PlacementRequest {
  return placementRequestOf(context, {
    inputsDataCentre: state.inputs?.dataCentre,
    excluded: state.triedServers,
    softwareVersion: state.softwareVersion,
  });
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
    case "ended":
      return finishAtLifetimeEnd(context, state);
    case "notRun":
    case "notSent":
      state.runs -= 1;
      state.refusals += 1;
      if (result.kind === "notRun" && result.isInputGone) {
        state.inputs?.release();
        state.inputs = undefined;
      }
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
  const { environment } = context;
  const candidate = await environment.directory.assign(
    toPlacement(context, state),
  );
  if (candidate === undefined) return undefined;
  if (context.lifetime.end !== undefined) return { kind: "ended" };
  const refusal = refusePoisonPart(context);
  if (refusal !== undefined) return { kind: "refused", reply: refusal };
  state.triedServers.add(candidate.server.id);
  state.runs += 1;
  logPlacement(context, state, candidate);
  return StreamRelay.run({
    attempt: {
      context,
      candidate,
      inputs: state.inputs?.references,
      resumeAfter: state.lastEventId,
      onServerCrash: () => {
        state.hasCrashedServer = true;
      },
    },
    progress: state,
    canFailOver: () =>
      isResumable(context) && state.runs < context.route.maxAttempts &&
      canPlace(context, state),
    onFirstEvent: (afterMs) => {
      recordBegin(context, state, candidate.server);
      environment.routeStatistics.recordFirstByte(context.route.name, afterMs);
      state.inputs?.release();
      state.inputs = undefined;
    },
  });
}

/** Fixes the version of a new stream, also for the client's later attempts. */
function recordBegin(
  context: ForwardContext,
  state: StreamState,
  { service, softwareVersion }: RegisteredServer,
): void {
  if (state.softwareVersion !== undefined) return;
  state.softwareVersion = softwareVersion;
  context.environment.streamVersions.recordBegin(context.request.attemptId, {
    service,
    softwareVersion,
  });
}

/** A resumption is logged at `info`, as it may fail because of the version. */
function logPlacement(
  context: ForwardContext,
  state: StreamState,
  { server, health }: ServerCandidate,
): void {
  const { logger } = context.environment;
  const { attemptId, resumedAttemptId } = context.request;
  const fields = {
    request: attemptId,
    server: server.id,
    softwareVersion: server.softwareVersion,
    inFlight: health.inFlight,
  };
  if (state.lastEventId === undefined) logger.debug("placed", fields);
  else {
    logger.info("placed", {
      ...fields,
      resumes: resumedAttemptId,
      after: state.lastEventId,
    });
  }
}

function isResumable(context: ForwardContext): boolean {
  const { repeatability } = context.route;
  return repeatability.kind === "stream" && repeatability.isResumable;
}

function spendRetry(context: ForwardContext): boolean {
  const { directory, clock, metrics } = context.environment;
  const isAllowed = directory.retryBudgetOf(context.service)
    .tryRetry(clock.nowMs());
  if (!isAllowed) metrics.countEvent("retryBudgetSpent");
  return isAllowed;
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
  return replyLocally(context, {
    kind: "refused",
    reason: state.triedServers.size === 0 ? "noServer" : "serversFull",
    retryAfterMs: Math.max(
      SERVERS_FULL_RETRY_AFTER_MS,
      context.environment.directory.availableInMs(context.service),
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
