/**
 * Progress of the stages of one request.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import {
  followersOf,
  type GraphStage,
  type ResultReference,
  type StageGraph,
} from "@sassafrasstage/protocol/stage_graph";

export type ItemState =
  | { readonly kind: "waiting" }
  /** `callId` is the newest call that includes the item. */
  | { readonly kind: "running"; readonly callId: number }
  | {
    readonly kind: "done";
    readonly result: ResultReference;
    /** When the server that made the result drops it. */
    readonly expiresAtMs: number;
  };

/** One work item of a stage. */
export interface StageItem {
  readonly stage: number;
  readonly index: number;
  state: ItemState;
  /** Number of times that the item was sent to a backend server. */
  sendCount: number;
}

export interface StageJobOptions {
  readonly id: string;
  /** The VM that owns the request. */
  readonly owner: VmId;
  readonly graph: StageGraph;
  readonly nowMs: number;
}

/** The progress of one stage graph. */
export class StageJob {
  readonly id: string;
  readonly owner: VmId;
  readonly graph: StageGraph;
  readonly acceptedAtMs: number;
  /** The response is late if the last result arrives after this. */
  readonly objectiveAtMs: number;
  /** The last result is useless after this. */
  readonly deadlineAtMs: number;
  readonly items: readonly (readonly StageItem[])[];
  readonly #followers: readonly (readonly number[])[];
  /** Set once the job has completed, been refused, or been removed. */
  isEnded = false;

  constructor(options: StageJobOptions) {
    const { graph, nowMs } = options;
    this.id = options.id;
    this.owner = options.owner;
    this.graph = graph;
    this.acceptedAtMs = nowMs;
    this.objectiveAtMs = nowMs + graph.objectiveInMs - graph.finishMs;
    this.deadlineAtMs = nowMs + graph.deadlineInMs - graph.finishMs;
    this.items = graph.stages.map((stage, position) =>
      Array.from({ length: stage.itemCount }, (_, index): StageItem => ({
        stage: position,
        index,
        state: { kind: "waiting" },
        sendCount: 0,
      }))
    );
    this.#followers = graph.stages.map((_, position) =>
      followersOf(graph.stages, position)
    );
  }

  stage(position: number): GraphStage {
    const stage = this.graph.stages[position];
    if (stage === undefined) throw new RangeError("No such stage");
    return stage;
  }

  itemsOf(position: number): readonly StageItem[] {
    return this.items[position] ?? [];
  }

  followersOf(position: number): readonly number[] {
    return this.#followers[position] ?? [];
  }

  isStageDone(position: number): boolean {
    return this.itemsOf(position).every((item) => item.state.kind === "done");
  }

  /** Whether all stages that this one depends on are done. */
  isStageReady(position: number): boolean {
    return this.stage(position).after.every((dependency) =>
      this.isStageDone(dependency)
    );
  }

  waitingItems(position: number): StageItem[] {
    return this.itemsOf(position)
      .filter((item) => item.state.kind === "waiting");
  }

  /** Positions of the stages that have items ready to start. */
  readyStages(): number[] {
    return [...this.graph.stages.keys()].filter((position) =>
      this.itemsOf(position).some((item) => item.state.kind === "waiting") &&
      this.isStageReady(position)
    );
  }

  /** Results that each item of the stage takes as input, in order. */
  inputsOf(position: number): ResultReference[] {
    return this.stage(position).after
      .flatMap((dependency) => this.resultsOf(dependency));
  }

  resultsOf(position: number): ResultReference[] {
    return this.itemsOf(position).flatMap((item) =>
      item.state.kind === "done" ? [item.state.result] : []
    );
  }

  /** Positions of the stages whose results the request itself uses. */
  finalStages(): number[] {
    return [...this.graph.stages.keys()]
      .filter((position) => this.followersOf(position).length === 0);
  }

  /** Whether any item counts as sent to a server. */
  hasStarted(): boolean {
    return this.items.flat().some((item) => item.sendCount > 0);
  }

  isComplete(): boolean {
    return this.finalStages().every((position) => this.isStageDone(position));
  }

  finalResults(): ResultReference[] {
    return this.finalStages().flatMap((position) => this.resultsOf(position));
  }

  /** Whether a later stage or the request itself still needs the results. */
  isResultNeeded(position: number): boolean {
    const followers = this.followersOf(position);
    return followers.length === 0 ||
      followers.some((follower) => !this.isStageDone(follower));
  }

  /** Number of items that are not part of a call. */
  get waitingItemCount(): number {
    return this.items.flat().filter(({ state }) => state.kind === "waiting")
      .length;
  }

  /** Requeues the items whose lost results are still needed. */
  invalidateResults(lost: ReadonlySet<string>): void {
    for (const item of this.items.flat()) {
      if (item.state.kind !== "done") continue;
      if (!lost.has(item.state.result.reference)) continue;
      if (this.isResultNeeded(item.stage)) item.state = { kind: "waiting" };
    }
  }
}
