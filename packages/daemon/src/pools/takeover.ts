/**
 * One round in which an owner learns which permits are outstanding.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";

/** Permits at warm servers are granted after this time even if answers are missing. */
const MAX_WARM_WAIT_MS = 250;

export interface TakeoverOptions {
  readonly requestNumber: number;
  readonly startedAtMs: number;
  /** Upper bound for the lifetime of permits granted before the round. */
  readonly longestPermitMs: number;
}

/** Since when each gone member has been observed to be gone. */
export type GoneSince = ReadonlyMap<VmId, number>;

/** Tracks which members have replied and what may be granted as a result. */
export class Takeover {
  readonly requestNumber: number;
  readonly #options: TakeoverOptions;
  readonly #repliedVmIds = new Set<VmId>();

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.requestNumber = options.requestNumber;
  }

  get startedAtMs(): number {
    return this.#options.startedAtMs;
  }

  recordReply(from: VmId, requestNumber: number): boolean {
    if (requestNumber !== this.requestNumber) return false;
    this.#repliedVmIds.add(from);
    return true;
  }

  /** The members to ask, initially or again; includes this daemon itself. */
  membersToAsk(members: readonly Member[]): VmId[] {
    return members
      .filter((m) => m.state !== "gone" && !this.#repliedVmIds.has(m.vmId))
      .map((m) => m.vmId);
  }

  areWarmPermitsKnown(members: readonly Member[], nowMs: number): boolean {
    if (nowMs >= this.#options.startedAtMs + MAX_WARM_WAIT_MS) return true;
    const live = members.filter((m) => m.state === "live");
    return this.membersToAsk(live).length === 0;
  }

  /**
   * Whether every permit that may be outstanding at a cold server is known or
   * has ended: all members have replied, and the permits of gone members have
   * expired.
   */
  areColdPermitsKnown(
    members: readonly Member[],
    goneSince: GoneSince,
    nowMs: number,
  ): boolean {
    const { startedAtMs, longestPermitMs } = this.#options;
    if (nowMs >= startedAtMs + longestPermitMs) return true;
    if (this.membersToAsk(members).length > 0) return false;
    for (const [vmId, sinceMs] of goneSince) {
      if (this.#repliedVmIds.has(vmId)) continue;
      if (nowMs < sinceMs + longestPermitMs) return false;
    }
    return true;
  }
}
