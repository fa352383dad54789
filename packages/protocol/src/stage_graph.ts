/**
 * A request's stages as a graph, with so many items of work for each.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  DataCentreName,
  ServiceName,
} from "./ids.js";

/** Names a result that lies at the backend server that made it. */
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

/** What the scheduler has to know of a request to run its stages. */
export interface StageGraph {
  readonly attemptId: AttemptId;
  /** Passed to stages that need no other stage's results. */
  readonly inputKey: string;
  readonly stages: readonly GraphStage[];
  /** Where the last results will likely be used. */
  readonly dataCentre: DataCentreName;
  readonly priority: number;
  /** Size of the request against the mean of its kind. */
  readonly relativeSize: number;
  /** Time until an answer is late, at the moment of sending. */
  readonly objectiveInMs: number;
  /** Time until an answer is useless, at the moment of sending. */
  readonly deadlineInMs: number;
  /** Likely time from the last result to the first byte of the answer. */
  readonly finishMs: number;
}

export type StageGraphOutcome =
  | {
    readonly kind: "completed";
    /** Results of the stages that no other stage follows, in order. */
    readonly results: readonly ResultReference[];
  }
  /** Nothing of it has started, and another VM coordinates by now. */
  | { readonly kind: "moved" }
  | {
    readonly kind: "refused";
    readonly reason: "overloaded" | "outOfTime" | "noServer";
    readonly retryAfterMs: number;
  };

/**
 * Positions of the stages that need the stage's results.
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

/** What is wrong with a graph, or undefined for a sound one. */
export function findGraphFault(
  stages: readonly GraphStage[],
): string | undefined {
  for (const [position, stage] of stages.entries()) {
    for (const before of stage.after) {
      if (before >= position) return `Stage ${position} needs a later stage`;
      if (stage.itemCount > 0 && stages[before]?.itemCount === 0) {
        return `Stage ${position} needs stage ${before}, which has no items`;
      }
    }
  }
  return undefined;
}
