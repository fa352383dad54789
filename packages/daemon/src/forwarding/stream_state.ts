/**
 * State of one streaming request over all its calls.
 *
 * @module
 */

import { retryWorth } from "./retry_worth.js";
import type {
  BackendServerId,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";
import type { ServerCandidate } from "../placement/choose_server.js";
import type { PlacementRequest } from "../placement/server_directory.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { ForwardContext } from "./forward_context.js";
import { placementRequestOf } from "./placement_request.js";
import type { PreparedInputs } from "./prepare_inputs.js";
import type { AttemptInput } from "./attempt_input.js";
import type { DropCause } from "./stream_call.js";
import type { StreamProgress } from "./stream_relay.js";

export interface StreamState extends StreamProgress {
  readonly triedServers: Set<BackendServerId>;
  readonly relativeSize: number;
  /** Set once the stream has begun; it goes on only at this version. */
  softwareVersion: SoftwareVersion | undefined;
  /** Inputs of the next call; a call that has no event yet may use them too. */
  inputs: PreparedInputs | undefined;
  /** Inputs that are gone in part, which an open call may still use. */
  readonly formerInputs: PreparedInputs[];
  /** Number of calls that may have run. */
  runs: number;
  refusals: number;
  /** A server has crashed during a call of this request. */
  hasCrashedServer: boolean;
}

export function makeStreamState(
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
    formerInputs: [],
    runs: 0,
    refusals: 0,
    hasCrashedServer: false,
    isHeadSent: false,
    endsWithConnection: false,
    lastEventId: request.resumeAfter,
  };
}

export function toPlacement(
  context: ForwardContext,
  state: StreamState,
): PlacementRequest {
  return placementRequestOf(context, {
    inputsDataCentre: state.inputs?.dataCentre,
    excluded: state.triedServers,
    softwareVersion: state.softwareVersion,
  });
}

/** False if a stream has begun and no server of its version is left. */
export function canPlace(
  context: ForwardContext,
  state: StreamState,
): boolean {
  return state.softwareVersion === undefined ||
    context.environment.directory.hasServer(toPlacement(context, state));
}

export function isResumable(context: ForwardContext): boolean {
  const { repeatability } = context.route;
  return repeatability.kind === "stream" && repeatability.isResumable;
}

export function spendRetry(context: ForwardContext): boolean {
  const { directory, clock, metrics } = context.environment;
  const isAllowed = directory.retryBudgetOf(context.service)
    .tryRetry(clock.nowMs(), retryWorth(context));
  if (!isAllowed) metrics.countEvent("retryBudgetSpent");
  return isAllowed;
}

/** Counts a run at the server; returns the call to start. */
export function beginRun(
  context: ForwardContext,
  state: StreamState,
  candidate: ServerCandidate,
): AttemptInput {
  state.triedServers.add(candidate.server.id);
  state.runs += 1;
  logPlacement(context, state, candidate);
  return {
    context,
    candidate,
    inputs: state.inputs?.references,
    resumeAfter: state.lastEventId,
    onServerCrash: () => {
      state.hasCrashedServer = true;
    },
  };
}

/** Records that a call has not run. */
export function recordRefusal(state: StreamState): void {
  state.runs -= 1;
  state.refusals += 1;
}

/** Records the end of a call while another one goes on. */
export function recordDropped(state: StreamState, cause: DropCause): void {
  switch (cause.kind) {
    case "notRun":
    case "notSent":
      recordRefusal(state);
      if (cause.kind === "notRun" && cause.isInputGone) retireInputs(state);
      return;
    case "answered":
    case "broken":
    case "superseded":
  }
}

/** The next call gets new inputs; an open call may still fetch the old ones. */
function retireInputs(state: StreamState): void {
  if (state.inputs !== undefined) state.formerInputs.push(state.inputs);
  state.inputs = undefined;
}

export function releaseInputs(state: StreamState): void {
  retireInputs(state);
  for (const inputs of state.formerInputs.splice(0)) inputs.release();
}

/** Fixes the version of a new stream, also for the client's later attempts. */
export function recordBegin(
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
