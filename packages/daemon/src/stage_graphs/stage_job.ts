/**
 * Progress of the stages of one request.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import {
  followersOf,
  type GraphStage,
  type ResultReference,
  type StageGraph,
} from "@sassafrasstage/protocol/stage_graph";
import { type ItemCounts, StageItem } from "./stage_item.js";

/** Up to so many edges, a graph has 256 paths at most. */
const MAX_EDGES_OF_FEW_PATHS = 16;

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
  readonly services: ReadonlySet<ServiceName>;
  /** Positions of the stages that depend on no other stage. */
  readonly rootStages: readonly number[];
  /** Whether visiting each path through the stages would take long. */
  readonly hasManyPaths: boolean;
  readonly #counts: readonly ItemCounts[];
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
    this.services = new Set(graph.stages.map((stage) => stage.service));
    this.rootStages = [...graph.stages.keys()]
      .filter((position) => graph.stages[position]?.after.length === 0);
    this.#counts = graph.stages.map(() => ({
      waiting: 0,
      running: 0,
      done: 0,
    }));
    this.items = graph.stages.map(({ itemCount }, stage) =>
      Array.from(
        { length: itemCount },
        (_, index) =>
          new StageItem({ stage, index, counts: this.#countsOf(stage) }),
      )
    );
    this.#followers = graph.stages.map((_, position) =>
      followersOf(graph.stages, position)
    );
    const edgeCount = graph.stages.reduce(
      (sum, { after }) => sum + after.length,
      0,
    );
    this.hasManyPaths = edgeCount > MAX_EDGES_OF_FEW_PATHS;
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
    return this.#countsOf(position).done === this.itemsOf(position).length;
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

  /** Number of items of the stage that are not part of a call. */
  waitingCount(position: number): number {
    return this.#countsOf(position).waiting;
  }

  /** Positions of the stages that have items ready to start. */
  readyStages(): number[] {
    const ready: number[] = [];
    for (const [position, counts] of this.#counts.entries()) {
      if (counts.waiting > 0 && this.isStageReady(position)) {
        ready.push(position);
      }
    }
    return ready;
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
    return this.#counts.reduce((sum, counts) => sum + counts.waiting, 0);
  }

  /** Whether a call may still bring a result that the job has not got. */
  get isRunning(): boolean {
    return this.items.some((items) =>
      items.some((item) => item.state.kind !== "done" && item.isCalled)
    );
  }

  /** Requeues the items whose lost results are still needed. */
  invalidateResults(lost: ReadonlySet<string>): void {
    for (const item of this.items.flat()) {
      if (item.state.kind !== "done") continue;
      if (!lost.has(item.state.result.reference)) continue;
      if (this.isResultNeeded(item.stage)) item.state = { kind: "waiting" };
    }
  }

  #countsOf(position: number): ItemCounts {
    const counts = this.#counts[position];
    if (counts === undefined) throw new RangeError("No such stage");
    return counts;
  }
}
