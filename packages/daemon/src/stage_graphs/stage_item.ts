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

const NO_CALLS: readonly number[] = [];

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
  /** Calls without an outcome that include the item, the newest one last. */
  #openCalls: readonly number[] = NO_CALLS;
  readonly #counts: ItemCounts;
  #state: ItemState = { kind: "waiting" };

  constructor(options: StageItemOptions) {
    this.stage = options.stage;
    this.index = options.index;
    this.#counts = options.counts;
    this.#counts.waiting += 1;
  }

  /** Whether a result may still come from a call. */
  get isCalled(): boolean {
    return this.#openCalls.length > 0;
  }

  startCall(callId: number): void {
    this.#openCalls = [...this.#openCalls, callId];
    this.state = { kind: "running", callId };
    this.sendCount += 1;
  }

  endCall(callId: number): void {
    const openCalls = this.#openCalls.filter((openCall) => openCall !== callId);
    this.#openCalls = openCalls.length === 0 ? NO_CALLS : openCalls;
  }

  /** Waits for the newest call that includes the item, instead of another one. */
  waitForOpenCall(): void {
    const callId = this.#openCalls.at(-1);
    if (callId !== undefined) this.state = { kind: "running", callId };
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
