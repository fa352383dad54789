/**
 * Chooses the VM that coordinates a group of stage services.
 *
 * Load pattern: VMs freeze, are killed and restarted in turn while all servers
 * are busy. Two coordinators at a time overfill the servers, so the one that
 * works stays on when another VM comes back; only where none works does the
 * ranking decide.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { rankByRendezvous } from "../peers/rendezvous.js";

/** An announcement counts for this long. */
const ANNOUNCEMENT_KEPT_MS = 1000;
/** Without a new job for so long a coordinator works no longer. */
const IDLE_AFTER_MS = 2000;

interface Announcement {
  readonly activeSinceMs: number;
  readonly heardAtMs: number;
}

interface OwnActivity {
  readonly sinceMs: number;
  lastJobAtMs: number;
}

export interface CoordinatorCandidates {
  readonly self: VmId;
  /** VMs that take new work, this one included if it does. */
  readonly liveVms: readonly VmId[];
}

export class CoordinatorChoice {
  readonly #announced = new Map<string, Map<VmId, Announcement>>();
  readonly #own = new Map<string, OwnActivity>();

  /** Another VM tells that it has been coordinating the group for so long. */
  noteAnnouncement(
    group: string,
    from: VmId,
    times: { readonly activeForMs: number; readonly nowMs: number },
  ): void {
    const ofGroup = this.#announced.get(group) ??
      new Map<VmId, Announcement>();
    ofGroup.set(from, {
      activeSinceMs: times.nowMs - times.activeForMs,
      heardAtMs: times.nowMs,
    });
    this.#announced.set(group, ofGroup);
  }

  /** This VM has got a job of the group. */
  noteOwnJob(group: string, nowMs: number): void {
    const own = this.#own.get(group);
    if (own !== undefined && nowMs - own.lastJobAtMs <= IDLE_AFTER_MS) {
      own.lastJobAtMs = nowMs;
      return;
    }
    this.#own.set(group, { sinceMs: nowMs, lastJobAtMs: nowMs });
  }

  /** This VM was paused or cut off, and others have taken over meanwhile. */
  forgetOwnActivity(): void {
    this.#own.clear();
  }

  /** The groups that this VM coordinates, and for how long. */
  ownGroups(nowMs: number): { group: string; activeForMs: number }[] {
    return [...this.#own]
      .filter(([, own]) => nowMs - own.lastJobAtMs <= IDLE_AFTER_MS)
      .map(([group, own]) => ({ group, activeForMs: nowMs - own.sinceMs }));
  }

  choose(
    group: string,
    candidates: CoordinatorCandidates,
    nowMs: number,
  ): VmId {
    const { self, liveVms } = candidates;
    const live = new Set(liveVms);
    let best: VmId | undefined;
    let bestSinceMs = Infinity;
    for (const [vmId, sinceMs] of this.#active(group, self, nowMs)) {
      if (!live.has(vmId)) continue;
      const isOlder = sinceMs < bestSinceMs ||
        (sinceMs === bestSinceMs && best !== undefined && vmId < best);
      if (!isOlder) continue;
      best = vmId;
      bestSinceMs = sinceMs;
    }
    return best ?? rankByRendezvous(group, liveVms)[0] ?? self;
  }

  #active(group: string, self: VmId, nowMs: number): [VmId, number][] {
    const active: [VmId, number][] = [];
    for (const [vmId, announced] of this.#announced.get(group) ?? []) {
      if (nowMs - announced.heardAtMs > ANNOUNCEMENT_KEPT_MS) continue;
      active.push([vmId, announced.activeSinceMs]);
    }
    const own = this.#own.get(group);
    if (own !== undefined && nowMs - own.lastJobAtMs <= IDLE_AFTER_MS) {
      active.push([self, own.sinceMs]);
    }
    return active;
  }
}
