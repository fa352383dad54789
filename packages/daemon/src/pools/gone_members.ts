/**
 * Since when members have been gone, as this daemon saw it.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";
import type { GoneSince } from "./takeover.js";

/** Follows the membership view. */
export class GoneMembers {
  readonly #sinceMs = new Map<VmId, number>();
  readonly #seen = new Set<VmId>();
  readonly #startedAtMs: number;

  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  get since(): GoneSince {
    return this.#sinceMs;
  }

  /**
   * Takes a new view and tells which members went: those whose process ended
   * and those that were dropped from the view. One that was never seen alive
   * may have ended at any time up to this process's start.
   */
  update(members: readonly Member[], nowMs: number): VmId[] {
    const went: VmId[] = [];
    const present = new Set<VmId>();
    for (const member of members) {
      if (member.state === "gone") continue;
      present.add(member.vmId);
      this.#seen.add(member.vmId);
      this.#sinceMs.delete(member.vmId);
    }
    for (const vmId of this.#seen) {
      if (present.has(vmId)) continue;
      this.#seen.delete(vmId);
      this.#sinceMs.set(vmId, nowMs);
      went.push(vmId);
    }
    for (const { vmId } of members) {
      if (present.has(vmId) || this.#sinceMs.has(vmId)) continue;
      this.#sinceMs.set(vmId, this.#startedAtMs);
      went.push(vmId);
    }
    return went;
  }
}
