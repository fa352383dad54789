/**
 * Selects the VM that coordinates a group of stage services.
 *
 * Load pattern: VMs freeze or are killed and restarted in turn while all
 * servers are busy. Two concurrent coordinators overload the servers, so an
 * active coordinator keeps its role when another VM comes back. The rendezvous
 * ranking decides only if there is no active coordinator.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { rankByRendezvous } from "../peers/rendezvous.js";

/** Time after which an announcement is ignored. */
const ANNOUNCEMENT_TTL_MS = 1000;
/** A coordinator without a new job for this long is no longer active. */
const IDLE_TIMEOUT_MS = 2000;

/**
 * A coordinator announces itself several times in this interval. One that is
 * silent for so long while requests wait for it is frozen or cut off.
 */
const COORDINATOR_SILENCE_MS = 1500;

/** After this time, its connection or its heartbeats have told. */
const SILENT_COORDINATOR_MS = 5000;

interface Announcement {
  readonly activeSinceMs: number;
  readonly receivedAtMs: number;
}

interface OwnActivity {
  readonly sinceMs: number;
  lastJobAtMs: number;
}

export interface CoordinatorCandidates {
  readonly self: VmId;
  /** VMs that may coordinate, including this one if it may. */
  readonly liveVms: readonly VmId[];
}

export class CoordinatorSelector {
  readonly #announcements = new Map<string, Map<VmId, Announcement>>();
  readonly #ownActivity = new Map<string, OwnActivity>();
  /** Since when coordinators are silent that haven't announced themselves since. */
  readonly #silentSinceMs = new Map<VmId, number>();

  /** Another VM announced for how long it has been coordinating the group. */
  recordAnnouncement(
    group: string,
    from: VmId,
    times: { readonly activeForMs: number; readonly nowMs: number },
  ): void {
    this.#silentSinceMs.delete(from);
    const groupAnnouncements = this.#announcements.get(group) ??
      new Map<VmId, Announcement>();
    groupAnnouncements.set(from, {
      activeSinceMs: times.nowMs - times.activeForMs,
      receivedAtMs: times.nowMs,
    });
    this.#announcements.set(group, groupAnnouncements);
  }

  /** This VM received a job of the group. */
  recordOwnJob(group: string, nowMs: number): void {
    const own = this.#ownActivity.get(group);
    if (own !== undefined && nowMs - own.lastJobAtMs <= IDLE_TIMEOUT_MS) {
      own.lastJobAtMs = nowMs;
      return;
    }
    this.#ownActivity.set(group, { sinceMs: nowMs, lastJobAtMs: nowMs });
  }

  /**
   * Called after this VM was paused or disconnected, as others may have taken
   * over in the meantime.
   */
  forgetOwnActivity(): void {
    this.#ownActivity.clear();
  }

  /** The groups that this VM coordinates, and for how long. */
  coordinatedGroups(nowMs: number): { group: string; activeForMs: number }[] {
    return [...this.#ownActivity]
      .filter(([, own]) => nowMs - own.lastJobAtMs <= IDLE_TIMEOUT_MS)
      .map(([group, own]) => ({ group, activeForMs: nowMs - own.sinceMs }));
  }

  choose(
    group: string,
    candidates: CoordinatorCandidates,
    nowMs: number,
  ): VmId {
    const { self } = candidates;
    const heardVms = candidates.liveVms.filter((vmId) => {
      const sinceMs = this.#silentSinceMs.get(vmId) ?? -Infinity;
      return nowMs - sinceMs > SILENT_COORDINATOR_MS;
    });
    const liveVms = heardVms.length > 0 ? heardVms : candidates.liveVms;
    const live = new Set(liveVms);
    let best: VmId | undefined;
    let bestSinceMs = Infinity;
    for (
      const [vmId, sinceMs] of this.#activeCoordinators(group, self, nowMs)
    ) {
      if (!live.has(vmId)) continue;
      const isOlder = sinceMs < bestSinceMs ||
        (sinceMs === bestSinceMs && best !== undefined && vmId < best);
      if (!isOlder) continue;
      best = vmId;
      bestSinceMs = sinceMs;
    }
    return best ?? rankByRendezvous(group, liveVms)[0] ?? self;
  }

  /**
   * Whether a coordinator that has announced itself has fallen silent since. It
   * is passed over then until it announces itself again.
   *
   * @param listeningSinceMs Since when this VM would have heard it
   */
  isSilent(
    group: string,
    coordinator: VmId,
    times: { readonly listeningSinceMs: number; readonly nowMs: number },
  ): boolean {
    const announced = this.#announcements.get(group)?.get(coordinator);
    if (announced === undefined) return false;
    const heardAtMs = Math.max(announced.receivedAtMs, times.listeningSinceMs);
    if (times.nowMs - heardAtMs <= COORDINATOR_SILENCE_MS) return false;
    this.#silentSinceMs.set(coordinator, times.nowMs);
    return true;
  }

  #activeCoordinators(
    group: string,
    self: VmId,
    nowMs: number,
  ): [VmId, number][] {
    const active: [VmId, number][] = [];
    for (const [vmId, announced] of this.#announcements.get(group) ?? []) {
      if (nowMs - announced.receivedAtMs > ANNOUNCEMENT_TTL_MS) continue;
      active.push([vmId, announced.activeSinceMs]);
    }
    const own = this.#ownActivity.get(group);
    if (own !== undefined && nowMs - own.lastJobAtMs <= IDLE_TIMEOUT_MS) {
      active.push([self, own.sinceMs]);
    }
    return active;
  }
}
