/**
 * A request's stages as a graph, with the number of work items of each.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  DataCentreName,
  ServiceName,
} from "./ids.js";

/** Maximum number of stages of one request. */
export const MAX_GRAPH_STAGES = 256;
/** Maximum number of items of all stages of one request. */
export const MAX_GRAPH_ITEMS = 16_384;

/** Refers to a result that is stored on the backend server that produced it. */
export interface ResultReference {
  readonly reference: string;
  readonly maker: BackendServerId;
  readonly dataCentre: DataCentreName;
}

/** One stage of one request. */
export interface GraphStage {
  readonly service: ServiceName;
  /** Positions of the stages whose results this one needs. */
  readonly after: readonly number[];
  readonly itemCount: number;
  readonly resultBytes: number;
}

/** The information that the scheduler needs to run a request's stages. */
export interface StageGraph {
  readonly attemptId: AttemptId;
  /** Passed to stages that don't depend on another stage. */
  readonly inputKey: string;
  readonly stages: readonly GraphStage[];
  /** Where the final results will probably be used. */
  readonly dataCentre: DataCentreName;
  readonly priority: number;
  /** Size of the request relative to the mean of its kind. */
  readonly relativeSize: number;
  /**
   * Time from sending the graph until a response misses its latency objective.
   */
  readonly objectiveInMs: number;
  /** Time from sending the graph until a response is useless. */
  readonly deadlineInMs: number;
  /** Estimated time from the last result to the first byte of the response. */
  readonly finishMs: number;
  /** Account of the client; older builds don't send it. */
  readonly account?: string | undefined;
  /** Name of the route; older builds don't send it. */
  readonly kind?: string | undefined;
  /** Estimated time since the client's first attempt; 0 if it isn't stated. */
  readonly ageMs?: number | undefined;
}

export type StageGraphOutcome =
  | {
    readonly kind: "completed";
    /** Results of the stages on which no other stage depends, in order. */
    readonly results: readonly ResultReference[];
  }
  /** No stage has started, and another VM is now the coordinator. */
  | { readonly kind: "moved" }
  | {
    readonly kind: "refused";
    readonly reason: StageRefusalReason;
    readonly retryAfterMs: number;
  };

export type StageRefusalReason =
  | "overloaded"
  | "outOfTime"
  | "noServer"
  /** The servers can't hold, or make in time, as many results. */
  | "tooManyItems"
  | "invalidGraph";

/**
 * Returns the positions of the stages that need the results of the given stage.
 *
 * @example
 * ```ts
 * const isLast = followersOf(graph.stages, 2).length === 0;
 * ```
 */
export function followersOf(
  stages: readonly GraphStage[],
  position: number,
): number[] {
  return [...stages.keys()]
    .filter((other) => stages[other]?.after.includes(position) === true);
}

/** Number of items of all stages. */
export function countItems(stages: readonly GraphStage[]): number {
  return stages.reduce((sum, stage) => sum + stage.itemCount, 0);
}

/** Returns why a graph is invalid, or undefined if it is valid. */
export function findGraphFault(
  stages: readonly GraphStage[],
): string | undefined {
  if (stages.length > MAX_GRAPH_STAGES) {
    return `More than ${MAX_GRAPH_STAGES} stages`;
  }
  for (const [position, stage] of stages.entries()) {
    if (stage.after.length > position) {
      return `Stage ${position} needs a later stage or one twice`;
    }
    for (const needed of stage.after) {
      if (needed >= position) return `Stage ${position} needs a later stage`;
      if (stage.itemCount > 0 && stages[needed]?.itemCount === 0) {
        return `Stage ${position} needs stage ${needed}, which has no items`;
      }
    }
  }
  return undefined;
}
