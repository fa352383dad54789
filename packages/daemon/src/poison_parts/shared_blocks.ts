/**
 * Keeps the fleet's store of blocks in step with what this VM has decided.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";
import type { PeerNetwork } from "../peers/peer_network.js";
import { findReachableMembers } from "../peers/reachable_members.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { BlockedPart } from "./blocked_part.js";
import type { PartBlock, PartBlocks } from "./part_blocks.js";

/** VMs that publish a block, each if those before it haven't. */
const MAX_PUBLISHERS = 3;
const PUBLISHER_DELAY_MS = 1000;

export interface BlockChanges {
  /** Listed now, and not refused to be adopted. */
  readonly listed: readonly PartBlock[];
  /** No longer listed. */
  readonly withdrawn: readonly SuspectId[];
}

export class SharedBlocks {
  readonly #network: PeerNetwork;
  readonly #store: PartBlocks;
  #listed = new Map<SuspectId, PartBlock>();
  /** Listed blocks that have ended here; the store isn't up to date yet. */
  readonly #ended = new Map<SuspectId, PartBlock>();
  /** When this VM last published each block, and with what. */
  readonly #published = new Map<SuspectId, PartBlock>();

  constructor(network: PeerNetwork, store: PartBlocks) {
    this.#network = network;
    this.#store = store;
  }

  /** Takes the blocks that the store lists now. */
  update(blocks: readonly PartBlock[]): BlockChanges {
    const listed = new Map(blocks.map((block) => [block.part, block]));
    const withdrawn = [...this.#listed.keys()]
      .filter((part) => !listed.has(part));
    this.#listed = listed;
    for (const part of withdrawn) {
      this.#ended.delete(part);
      this.#published.delete(part);
    }
    return {
      listed: blocks.filter((block) => !this.#hasEnded(block)),
      withdrawn,
    };
  }

  /** Publishes the block once it is this VM's turn. */
  publishIfDue(block: BlockedPart, nowMs: number): void {
    const { part, failedProbes } = block;
    const known = this.#published.get(part) ?? this.#listed.get(part);
    if (known !== undefined && known.failedProbes >= failedProbes) return;
    const listed = this.#listed.get(part);
    if (listed !== undefined && listed.failedProbes >= failedProbes) return;
    const rank = this.#rankOf(part, nowMs);
    if (rank >= MAX_PUBLISHERS) return;
    const changedAtMs = Math.max(block.blockedAtMs, block.lastCrashAtMs);
    if (nowMs - changedAtMs < rank * PUBLISHER_DELAY_MS) return;
    const published = block.toBlock(nowMs);
    this.#published.set(part, published);
    this.#store.publish(published);
  }

  /** The block has ended at this VM. */
  end(part: SuspectId, options: { readonly withdraw: boolean }): void {
    const listed = this.#listed.get(part);
    if (listed !== undefined) this.#ended.set(part, listed);
    this.#published.delete(part);
    if (options.withdraw) this.#store.withdraw(part);
  }

  /** Whether this VM probes the part and ends its block. */
  isOwner(part: SuspectId, nowMs: number): boolean {
    return this.#hasMajority(nowMs) && this.#rankOf(part, nowMs) === 0;
  }

  /** Also of VMs that are cut off, so that only one part of a fleet probes. */
  #hasMajority(nowMs: number): boolean {
    const view = this.#network.view(nowMs);
    const running = view.members.filter(({ state }) => state !== "gone");
    const reachable = findReachableMembers(view).length + 1;
    return 2 * reachable > running.length;
  }

  #rankOf(part: SuspectId, nowMs: number): number {
    const { self } = this.#network;
    const members = findReachableMembers(this.#network.view(nowMs))
      .filter(({ state }) => state === "live");
    const vmIds = [self.vmId, ...members.map(({ vmId }) => vmId)];
    return rankByRendezvous(part, vmIds).indexOf(self.vmId);
  }

  #hasEnded(block: PartBlock): boolean {
    const ended = this.#ended.get(block.part);
    if (ended === undefined) return false;
    if (isSameBlock(ended, block)) return true;
    this.#ended.delete(block.part);
    return false;
  }
}

function isSameBlock(a: PartBlock, b: PartBlock): boolean {
  return a.crashes === b.crashes && a.failedProbes === b.failedProbes &&
    a.lastCrashAgeMs === b.lastCrashAgeMs;
}
