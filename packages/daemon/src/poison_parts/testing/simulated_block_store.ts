/**
 * The fleet's store of blocks in simulated time. It reaches all VMs, also those
 * that are cut off from the others.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";
import type { PartBlock, PartBlocks } from "../part_blocks.js";

const CHANGE_DELAY_MS = 100;

type Listener = (blocks: readonly PartBlock[]) => void;

export class SimulatedBlockStore {
  readonly blocks = new Map<SuspectId, PartBlock>();
  /** Number of changes that VMs have asked for. */
  writes = 0;
  readonly #listeners = new Map<number, Listener>();

  /** The store as the VM with this index sees it; replaces its former port. */
  portOf(vmIndex: number): PartBlocks {
    this.#listeners.delete(vmIndex);
    return {
      publish: (block) => {
        this.#change(() => this.blocks.set(block.part, block));
      },
      withdraw: (part) => {
        this.#change(() => this.blocks.delete(part));
      },
      onChanged: (listener) => {
        this.#listeners.set(vmIndex, listener);
        setTimeout(() => {
          if (this.#listeners.get(vmIndex) !== listener) return;
          listener([...this.blocks.values()]);
        }, CHANGE_DELAY_MS);
      },
    };
  }

  #change(apply: () => void): void {
    this.writes += 1;
    setTimeout(() => {
      apply();
      for (const listener of this.#listeners.values()) {
        listener([...this.blocks.values()]);
      }
    }, CHANGE_DELAY_MS);
  }
}
