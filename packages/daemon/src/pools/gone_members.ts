/**
 * Tracks since when members have been gone, as observed by this daemon.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";
import type { GoneSince } from "./takeover.js";

/** Derives the gone members from successive membership views. */
export class GoneMembers {
  readonly #sinceMs = new Map<VmId, number>();
  readonly #previouslyPresent = new Set<VmId>();
  readonly #startedAtMs: number;

  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  get goneSince(): GoneSince {
    return this.#sinceMs;
  }

  /**
   * Applies a new view and returns the members that are newly gone: those whose
   * process ended and those that were dropped from the view. A member that was
   * never seen alive counts as gone since this process started, because it may
   * have ended at any time up to then.
   */
  update(members: readonly Member[], nowMs: number): VmId[] {
    const newlyGone: VmId[] = [];
    const present = new Set<VmId>();
    for (const member of members) {
      if (member.state === "gone") continue;
      present.add(member.vmId);
      this.#previouslyPresent.add(member.vmId);
      this.#sinceMs.delete(member.vmId);
    }
    for (const vmId of this.#previouslyPresent) {
      if (present.has(vmId)) continue;
      this.#previouslyPresent.delete(vmId);
      this.#sinceMs.set(vmId, nowMs);
      newlyGone.push(vmId);
    }
    for (const { vmId } of members) {
      if (present.has(vmId) || this.#sinceMs.has(vmId)) continue;
      this.#sinceMs.set(vmId, this.#startedAtMs);
      newlyGone.push(vmId);
    }
    return newlyGone;
  }
}
