/**
 * Decides whether this VM watches the platform's store itself, or relies on the
 * watchers of its data centre.
 *
 * Load pattern: hundreds of VMs. If each of them watched every kind of object,
 * each change would end hundreds of calls to the store, and each VM that joins
 * would make all others call again. So a few VMs of each data centre watch and
 * tell the others. A VM goes to the store itself as soon as its watchers fall
 * silent or don't hear from the store, so it stays as up to date as the rules
 * for all VMs demand.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import { listLiveLocalDaemons } from "../configuration/choose_watchers.js";
import type { Logger } from "../observability/logger.js";
import { isFullMesh } from "../peers/link_policy.js";
import type { Member, PeerNetwork } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

export interface StoreWatchersOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** More than one, so that no change waits for a lost watcher's successor. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/** A watcher that hasn't been heard for this long isn't relied on. */
export const WATCHER_SILENCE_MS = 1500;
/** The store answers a watcher's calls at shorter intervals. */
export const MAX_STORE_AGE_MS = 2500;
const RENDEZVOUS_KEY = "storeWatchers";

/** What a watcher told with its latest heartbeat. */
interface HeardWatcher {
  readonly heardAtMs: number;
  /** When the store answered it last. */
  readonly respondedAtMs: number;
  /** Whether it watches rollout requests too. */
  readonly knowsRollouts: boolean;
}

export type StoreRole =
  /** In a small fleet, every VM watches for itself only. */
  | "independent"
  | "watcher"
  | "follower";

export class StoreWatchers {
  readonly #options: StoreWatchersOptions;
  readonly #heard = new Map<VmId, HeardWatcher>();
  #role: StoreRole = "independent";
  #isFollowing = false;

  constructor(options: StoreWatchersOptions) {
    this.#options = options;
    const { network, clock } = options;
    network.messages.on("heartbeat", ({ from, message }) => {
      const { storeAgeMs, knowsRollouts = false } = message;
      const isWatcher = storeAgeMs !== undefined &&
        from.dataCentre === network.self.dataCentre;
      if (!isWatcher) {
        this.#heard.delete(from.vmId);
        return;
      }
      const heardAtMs = clock.nowMs();
      const respondedAtMs = heardAtMs - storeAgeMs;
      this.#heard.set(from.vmId, {
        heardAtMs,
        respondedAtMs,
        knowsRollouts,
      });
    });
    network.lifecycle.on("disconnected", ({ vmId }) => {
      this.#heard.delete(vmId);
    });
  }

  get role(): StoreRole {
    return this.#role;
  }

  /** Whether the changes that watchers tell are enough for this VM. */
  isFollowing(nowMs: number): boolean {
    if (this.#role !== "follower") return false;
    return [...this.#heard.values()].some((watcher) =>
      nowMs - watcher.heardAtMs <= WATCHER_SILENCE_MS &&
      nowMs - watcher.respondedAtMs <= MAX_STORE_AGE_MS
    );
  }

  /** Whether a watcher is heard that tells of rollout requests. */
  knowRollouts(nowMs: number): boolean {
    return [...this.#heard.values()].some((watcher) =>
      watcher.knowsRollouts && nowMs - watcher.heardAtMs <= WATCHER_SILENCE_MS
    );
  }

  /** Whether a watcher is heard, though the store may not answer it. */
  hasLiveWatcher(nowMs: number): boolean {
    return this.#role === "follower" && [...this.#heard.values()].some(
      ({ heardAtMs }) => nowMs - heardAtMs <= WATCHER_SILENCE_MS,
    );
  }

  /** When the store answered one of the watchers last. */
  respondedAtMs(): number {
    return Math.max(
      -Infinity,
      ...[...this.#heard.values()].map((watcher) => watcher.respondedAtMs),
    );
  }

  /** Chooses the role anew, as VMs come and go. */
  update(nowMs: number): void {
    const { network, logger } = this.#options;
    const { members } = network.view(nowMs);
    const watchers = chooseWatchers(members);
    const isWatcher = watchers.includes(network.self.vmId);
    const role = isFullMesh(members.length)
      ? "independent"
      : isWatcher
      ? "watcher"
      : "follower";
    if (role !== this.#role) {
      logger.info("storeRoleChanged", {
        role,
        previous: this.#role,
        watchers: watchers.join(),
        members: members.length,
      });
      this.#role = role;
    }
    this.#reportFollowing(nowMs);
  }

  /** The VMs to which a watcher sends changes. */
  followers(nowMs: number): VmId[] {
    const { network } = this.#options;
    return listLiveLocalDaemons(network.view(nowMs))
      .filter((member) => !member.isSelf && member.takesObjectChanges === true)
      .map(({ vmId }) => vmId);
  }

  #reportFollowing(nowMs: number): void {
    const isFollowing = this.isFollowing(nowMs);
    if (isFollowing === this.#isFollowing) return;
    this.#isFollowing = isFollowing;
    const ages = [...this.#heard].map(([vmId, watcher]) =>
      `${vmId}:${Math.round(nowMs - watcher.heardAtMs)}:` +
      `${Math.round(nowMs - watcher.respondedAtMs)}`
    );
    this.#options.logger.info(
      isFollowing ? "storeWatchersFollowed" : "storeWatchersLost",
      { role: this.#role, heardAndStoreAgesMs: ages.join() },
    );
  }
}

/**
 * The VMs of this data centre that watch the store. VMs that see the same
 * members choose the same.
 *
 * @example
 * ```ts
 * const isWatcher = chooseWatchers(view.members).includes(self.vmId);
 * ```
 */
export function chooseWatchers(members: readonly Member[]): VmId[] {
  const vmIds = listLiveLocalDaemons({ members })
    .filter((member) => member.isSelf || member.takesObjectChanges === true)
    .map(({ vmId }) => vmId);
  return rankByRendezvous(RENDEZVOUS_KEY, vmIds)
    .slice(0, WATCHERS_PER_DATA_CENTRE);
}
