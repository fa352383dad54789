/**
 * One work item of a stage, and the number of a stage's items in each state.
 *
 * @module
 */

import type { ResultReference } from "@sassafrasstage/protocol/stage_graph";

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

/** Number of items of one stage in each state. */
export type ItemCounts = Record<ItemState["kind"], number>;

export interface StageItemOptions {
  readonly stage: number;
  readonly index: number;
  /** Updated at each change of state; shared by the items of a stage. */
  readonly counts: ItemCounts;
}

export class StageItem {
  readonly stage: number;
  readonly index: number;
  /** Number of times that the item was sent to a backend server. */
  sendCount = 0;
  readonly #counts: ItemCounts;
  #state: ItemState = { kind: "waiting" };

  constructor(options: StageItemOptions) {
    this.stage = options.stage;
    this.index = options.index;
    this.#counts = options.counts;
    this.#counts.waiting += 1;
  }

  get state(): ItemState {
    return this.#state;
  }

  set state(state: ItemState) {
    this.#counts[this.#state.kind] -= 1;
    this.#counts[state.kind] += 1;
    this.#state = state;
  }
}
