/**
 * One round in which an owner learns which permits are out.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";

/** Warm servers are granted after this time, whoever has not answered. */
const WARM_WAIT_MS = 250;

export interface TakeoverOptions {
  readonly requestNumber: number;
  readonly startedAtMs: number;
  /** No permit granted before the round outlives this. */
  readonly longestPermitMs: number;
}

/** Since when each member has been seen to be gone. */
export type GoneSince = ReadonlyMap<VmId, number>;

/** Who has answered, and what that allows. */
export class Takeover {
  readonly requestNumber: number;
  readonly #options: TakeoverOptions;
  readonly #answered = new Set<VmId>();

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.requestNumber = options.requestNumber;
  }

  get startedAtMs(): number {
    return this.#options.startedAtMs;
  }

  noteAnswer(from: VmId, requestNumber: number): boolean {
    if (requestNumber !== this.requestNumber) return false;
    this.#answered.add(from);
    return true;
  }

  /** Whom to ask, for the first time or again; this daemon is one of them. */
  unanswered(members: readonly Member[]): VmId[] {
    return members
      .filter((m) => m.state !== "gone" && !this.#answered.has(m.vmId))
      .map((m) => m.vmId);
  }

  isWarmKnown(members: readonly Member[], nowMs: number): boolean {
    if (nowMs >= this.#options.startedAtMs + WARM_WAIT_MS) return true;
    const live = members.filter((m) => m.state === "live");
    return this.unanswered(live).length === 0;
  }

  /**
   * Whether every permit that may be out at a cold server is known or over:
   * all members answered, and the permits of those that are gone have ended.
   */
  isColdKnown(
    members: readonly Member[],
    goneSince: GoneSince,
    nowMs: number,
  ): boolean {
    const { startedAtMs, longestPermitMs } = this.#options;
    if (nowMs >= startedAtMs + longestPermitMs) return true;
    if (this.unanswered(members).length > 0) return false;
    for (const [vmId, sinceMs] of goneSince) {
      if (this.#answered.has(vmId)) continue;
      if (nowMs < sinceMs + longestPermitMs) return false;
    }
    return true;
  }
}
