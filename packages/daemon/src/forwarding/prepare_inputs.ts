/**
 * Has a request's stages run before its own service is called.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import type { GraphStage } from "@sassafrasstage/protocol/stage_graph";
import { makeDeferred } from "../deferred.js";
import type { RunningGraph } from "../stage_graphs/stage_graph_client.js";
import type { ForwardContext } from "./forward_context.js";
import { placementNeedOf } from "./placement_need.js";
import type { OwnAnswer } from "./routed_request.js";

/** The results that the request's own service takes. */
export interface PreparedInputs {
  /** Undefined where the request has no stages to run. */
  readonly references: readonly string[] | undefined;
  /** Where most of them lie. */
  readonly dataCentre: DataCentreName | undefined;
  /** Gives the results back. */
  release(): void;
}

export type Preparation =
  | { readonly kind: "prepared"; readonly inputs: PreparedInputs }
  | { readonly kind: "refused"; readonly own: OwnAnswer }
  | { readonly kind: "ended" };

const NO_INPUTS: PreparedInputs = {
  references: undefined,
  dataCentre: undefined,
  release: () => undefined,
};

const NONE_TRIED: ReadonlySet<BackendServerId> = new Set();

/** A client comes back within this part of the time that it has left. */
const LONGEST_RETRY_AFTER_PART = 0.3;

/** The route's stages with the request's numbers of items. */
export function graphStagesOf(context: ForwardContext): GraphStage[] {
  const { route, request } = context;
  return route.stages.map((stage, position) => ({
    service: stage.service,
    after: stage.after,
    itemCount: request.stageItems?.[position] ?? 0,
    resultBytes: stage.resultBytes,
  }));
}

/** Runs the stages; ends early with the request's lifetime. */
export async function prepareInputs(
  context: ForwardContext,
  relativeSize: number,
): Promise<Preparation> {
  const stages = graphStagesOf(context);
  if (stages.every((stage) => stage.itemCount === 0)) {
    return { kind: "prepared", inputs: NO_INPUTS };
  }
  const running = startGraph(context, stages, relativeSize);
  const ended = makeDeferred<"ended">();
  const stopListening = context.lifetime.onEnd(() => {
    ended.resolve("ended");
  });
  const outcome = await Promise.race([running.outcome, ended.promise]);
  stopListening();
  if (outcome === "ended") {
    running.release();
    return { kind: "ended" };
  }
  if (outcome.kind === "refused") {
    return { kind: "refused", own: toRefusal(context, outcome) };
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
  relativeSize: number,
): RunningGraph {
  const { environment, request, route, lifetime } = context;
  const nowMs = environment.clock.nowMs();
  const spentMs = nowMs - request.receivedAtMs;
  const likely = environment.directory.choose(
    placementNeedOf(context, undefined, NONE_TRIED),
    nowMs,
  );
  return environment.graphs.run({
    attemptId: request.attemptId,
    inputKey: request.inputKey ?? "",
    stages,
    dataCentre: likely?.server.dataCentre ?? environment.dataCentre,
    priority: context.account?.priority ?? route.priority,
    relativeSize,
    objectiveInMs: route.objectiveMs - spentMs,
    deadlineInMs: lifetime.remainingMs(),
    finishMs: environment.measures.finishMs(route.name),
  }, context.stageGroup);
}

function toRefusal(
  context: ForwardContext,
  outcome: { readonly reason: string; readonly retryAfterMs: number },
): OwnAnswer {
  const longestMs = context.lifetime.remainingMs() * LONGEST_RETRY_AFTER_PART;
  return {
    kind: "refused",
    reason: outcome.reason === "overloaded" ? "overloaded" : "outOfTime",
    retryAfterMs: Math.max(0, Math.min(outcome.retryAfterMs, longestMs)),
    detail: `The stages can't be done in time: ${outcome.reason}`,
  };
}
