/**
 * Accounts for the memory of the jobs that a scheduler holds, and refuses jobs
 * before it runs short.
 *
 * @module
 */

import {
  countItems,
  type StageGraph,
} from "@sassafrasstage/protocol/stage_graph";
import type { BufferAccount, HeldBuffer } from "../memory/buffer_account.js";
import type { StageJob } from "./stage_job.js";

/** Memory of one item with its result, and of a job without its items. */
const ITEM_BYTES = 512;
const JOB_BYTES = 2048;
/** Share of the account that the jobs may take together. */
const MAX_SHARE = 0.5;

export class StageStateMemory {
  readonly #account: BufferAccount | undefined;
  readonly #held = new Map<string, HeldBuffer>();

  /** @param account Without one, nothing is refused */
  constructor(account: BufferAccount | undefined) {
    this.#account = account;
  }

  hasRoomFor(graph: StageGraph): boolean {
    if (this.#account === undefined) return true;
    const { maxBytes, pressure } = this.#account;
    const heldBytes = this.#account.heldBytesFor("stageState");
    return pressure !== "refuseWork" &&
      heldBytes + sizeOf(graph) <= maxBytes * MAX_SHARE;
  }

  /**
   * Adds the job, which may end other jobs, or this one.
   *
   * @param onEvicted Ends the job
   */
  add(job: StageJob, onEvicted: () => void): void {
    const buffer = this.#account?.open("stageState", {
      // The results of an ended job are in use.
      isIrreplaceable: () => job.isEnded,
      evict: onEvicted,
    });
    if (buffer === undefined) return;
    this.#held.set(job.id, buffer);
    buffer.resize(sizeOf(job.graph));
  }

  remove(job: StageJob): void {
    this.#held.get(job.id)?.close();
    this.#held.delete(job.id);
  }
}

function sizeOf(graph: StageGraph): number {
  return JOB_BYTES + countItems(graph.stages) * ITEM_BYTES;
}
