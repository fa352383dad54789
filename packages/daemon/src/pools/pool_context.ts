/**
 * The peer network's members and the configuration, as the permit source uses
 * them. The members are a snapshot that it refreshes on every tick; the
 * configuration is always the current one.
 *
 * @module
 */

import type { PoolId, VmId } from "@sassafrasstage/protocol/ids";
import type {
  Member,
  PeerIdentity,
  PeerNetwork,
} from "../peers/peer_network.js";
import type { Settings } from "../settings/settings.js";
import { type Electorate, findElectorate, isMajority } from "./electorate.js";
import { LayoutCache, type LayoutSources } from "./layout_cache.js";
import { electOwner } from "./owner_election.js";
import type { PoolLayout, VmAvailability } from "./pool_layout.js";
import { ResumeCheck } from "./resume_check.js";
import { poolKey } from "@sassafrasstage/protocol/ids";
import type { WarmShare } from "./grant_rights.js";

export interface PoolContextOptions extends LayoutSources {
  readonly network: PeerNetwork;
  readonly settings: Settings;
}

/** Shared by the owner role and the permit client. */
export class PoolContext {
  readonly settings: Settings;
  readonly self: PeerIdentity;
  readonly #network: PeerNetwork;
  readonly #layouts: LayoutCache;
  readonly #owners = new Map<string, VmId | undefined>();
  readonly #resumeCheck = new ResumeCheck();
  #members: readonly Member[] = [];
  #electorate: Electorate = [];
  #hasMajorityInView = false;
  #isLeaving = false;

  constructor(options: PoolContextOptions) {
    this.settings = options.settings;
    this.self = options.network.self;
    this.#network = options.network;
    this.#layouts = new LayoutCache(options);
  }

  get members(): readonly Member[] {
    return this.#members;
  }

  get electorate(): Electorate {
    return this.#electorate;
  }

  /** Whether the members seen as live or leaving are a majority of the electorate. */
  get hasMajorityInView(): boolean {
    return this.#hasMajorityInView;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  layout(): PoolLayout {
    return this.#layouts.layout();
  }

  vms(): VmAvailability {
    return this.#layouts.vms();
  }

  recordPause(nowMs: number): void {
    this.#resumeCheck.recordPause(nowMs);
    // Replaces the members from before the pause, which still show the others as live.
    this.refresh(nowMs);
  }

  /** False for a short time after a pause; see `ResumeCheck`. */
  isConfigurationConfirmed(nowMs: number): boolean {
    const own = this.layout().generation;
    return this.#resumeCheck.isConfirmed(
      { own, members: this.#members },
      nowMs,
    );
  }

  setLeaving(): void {
    this.#isLeaving = true;
  }

  refresh(nowMs: number): void {
    this.#members = this.#network.view(nowMs).members.map((member) =>
      member.isSelf ? this.#selfMember(member) : member
    );
    this.#owners.clear();
    this.#electorate = findElectorate({
      dataCentre: this.self.dataCentre,
      self: this.self.vmId,
      members: this.#members,
      listing: this.#layouts.listing(),
    });
    const reachableVmIds = this.#members
      .filter((m) => m.state === "live" || m.state === "leaving")
      .map((m) => m.vmId);
    this.#hasMajorityInView = isMajority(
      new Set(reachableVmIds),
      this.#electorate,
    );
  }

  ownerOf(pool: PoolId): VmId | undefined {
    const key = poolKey(pool);
    if (this.#owners.has(key)) return this.#owners.get(key);
    const owner = electOwner(pool, this.#members);
    this.#owners.set(key, owner);
    return owner;
  }

  /** This VM's fixed share of the warm limits in its data centre. */
  warmShare(): WarmShare {
    return {
      rank: this.#electorate.indexOf(this.self.vmId),
      vmCount: this.#electorate.length,
    };
  }

  #selfMember(member: Member): Member {
    const isLeaving = this.#isLeaving || member.state === "leaving";
    return { ...member, state: isLeaving ? "leaving" : "live" };
  }
}
