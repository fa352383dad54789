/**
 * Runs a request's stages before the route's service is called.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { GraphStage } from "@sassafrasstage/protocol/stage_graph";
import { makeDeferred } from "../deferred.js";
import type { RunningGraph } from "../stage_graphs/stage_graph_client.js";
import type { ForwardContext } from "./forward_context.js";
import { placementRequestOf } from "./placement_request.js";
import type { LocalReply } from "./routed_request.js";

/** The stage results that are passed to the route's service. */
export interface PreparedInputs {
  /** Undefined if the request has no stages to run. */
  readonly references: readonly string[] | undefined;
  /** Data centre of the first result; most others are expected there too. */
  readonly dataCentre: DataCentreName | undefined;
  /** Releases the results. */
  release(): void;
}

export type PreparationResult =
  | { readonly kind: "prepared"; readonly inputs: PreparedInputs }
  | { readonly kind: "refused"; readonly reply: LocalReply }
  | { readonly kind: "ended" };

const NO_INPUTS: PreparedInputs = {
  references: undefined,
  dataCentre: undefined,
  release: () => undefined,
};

const NO_TRIED_SERVERS: ReadonlySet<BackendServerId> = new Set();

/** Upper bound of Retry-After, as a fraction of the request's remaining time. */
const MAX_RETRY_AFTER_FRACTION = 0.3;

/** The route's stages with the request's item counts. */
export function graphStagesOf(context: ForwardContext): GraphStage[] {
  const { route, request } = context;
  return route.stages.map((stage, position) => ({
    service: stage.service,
    after: stage.after,
    itemCount: request.stageItems?.[position] ?? 0,
    resultBytes: stage.resultBytes,
  }));
}

export interface PreparationOptions {
  readonly relativeSize: number;
  /** Set for a stream that goes on at servers of this version only. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Aborted once the inputs aren't needed any more. */
  readonly signal?: AbortSignal;
}

/** Runs the stages; stops early if the request's lifetime ends. */
export async function prepareInputs(
  context: ForwardContext,
  options: PreparationOptions,
): Promise<PreparationResult> {
  const stages = graphStagesOf(context);
  if (stages.every((stage) => stage.itemCount === 0)) {
    return { kind: "prepared", inputs: NO_INPUTS };
  }
  const running = startGraph(context, stages, options);
  const stopped = makeDeferred<"ended">();
  function stop(): void {
    stopped.resolve("ended");
  }
  const stopListening = context.lifetime.onEnd(stop);
  options.signal?.addEventListener("abort", stop, { once: true });
  const outcome = await Promise.race([running.outcome, stopped.promise]);
  stopListening();
  if (outcome === "ended") {
    running.release();
    return { kind: "ended" };
  }
  if (outcome.kind === "refused") {
    return { kind: "refused", reply: toRefusal(context, outcome) };
  }
  return {
    kind: "prepared",
    inputs: {
      references: outcome.results.map((result) => result.reference),
      dataCentre: outcome.results[0]?.dataCentre,
      release: () => {
        running.release();
      },
    },
  };
}

function startGraph(
  context: ForwardContext,
  stages: readonly GraphStage[],
  { relativeSize, softwareVersion }: PreparationOptions,
): RunningGraph {
  const { environment, request, route, lifetime } = context;
  const nowMs = environment.clock.nowMs();
  const elapsedMs = nowMs - request.receivedAtMs;
  const likelyServer = environment.directory.preview(
    placementRequestOf(context, {
      inputsDataCentre: undefined,
      excluded: NO_TRIED_SERVERS,
      softwareVersion,
    }),
    nowMs,
  );
  return environment.graphs.run({
    attemptId: request.attemptId,
    inputKey: request.inputKey ?? "",
    stages,
    dataCentre: likelyServer?.server.dataCentre ?? environment.dataCentre,
    priority: context.account?.priority ?? route.priority,
    relativeSize,
    objectiveInMs: route.objectiveMs - elapsedMs - (context.ageMs ?? 0),
    deadlineInMs: lifetime.remainingMs(),
    finishMs: environment.routeStatistics.firstByteMs(route.name),
    ...(context.ageMs === undefined ? {} : {
      account: context.account?.id,
      kind: route.name,
      ageMs: context.ageMs,
    }),
  }, context.stageGroup);
}

function toRefusal(
  context: ForwardContext,
  outcome: { readonly reason: string; readonly retryAfterMs: number },
): LocalReply {
  const maxRetryAfterMs = context.lifetime.remainingMs() *
    MAX_RETRY_AFTER_FRACTION;
  return {
    kind: "refused",
    reason: outcome.reason === "overloaded" ? "overloaded" : "outOfTime",
    retryAfterMs: Math.max(0, Math.min(outcome.retryAfterMs, maxRetryAfterMs)),
    detail: outcome.reason === "tooManyItems"
      ? "The stages have more items than their servers can take"
      : `The stages can't be done in time: ${outcome.reason}`,
  };
}
