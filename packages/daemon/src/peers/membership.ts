/**
 * The membership view: computed from the registry, kept until it can change.
 *
 * @module
 */

import { memberStateOf, silenceLimitMs } from "./member_state.js";
import type {
  Member,
  MembershipView,
  MemberState,
  PeerIdentity,
} from "./peer_network.js";
import type { PeerRecord } from "./peer_record.js";
import type { PeerRegistry } from "./peer_registry.js";
import { compareText } from "./rendezvous.js";

export interface MembershipOptions {
  readonly self: PeerIdentity;
  readonly registry: PeerRegistry;
  readonly heartbeatTimeoutMs: number;
  /** Called when a member came, went, or changed its state. */
  readonly onChanged: (view: MembershipView) => void;
}

/** Gives the view at a time and reports its changes. */
export class Membership {
  readonly #options: MembershipOptions;
  /** The generation in force at this VM. */
  ownGeneration = 0;
  /** The newest change that this VM has seen of each kind of objects. */
  ownNewsVersions: readonly number[] = [];
  /** This VM has said that it is shutting down. */
  isLeaving = false;
  #view: MembershipView = { members: [] };
  /** Until then nobody can have fallen silent since the view was made. */
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #signature = "";

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Has to be called whenever something but the passing of time changed. */
  invalidate(): void {
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
  }

  view(nowMs: number): MembershipView {
    if (nowMs <= this.#validUntilMs) return this.#view;
    const peers = this.#options.registry.all();
    const members = peers.map((peer) => this.#toMember(peer, nowMs));
    members.push(this.#selfMember());
    members.sort((a, b) => compareText(a.vmId, b.vmId));
    this.#view = { members };
    this.#validUntilMs = this.#computeValidUntilMs(peers, nowMs);
    this.#reportChange();
    return this.#view;
  }

  #reportChange(): void {
    const signature = this.#view.members
      .map((member) => `${member.vmId} ${member.dataCentre} ${member.state}`)
      .join("\n");
    if (signature === this.#signature) return;
    this.#signature = signature;
    this.#options.onChanged(this.#view);
  }

  /** Being heard later only moves the true limit further away. */
  #computeValidUntilMs(peers: readonly PeerRecord[], nowMs: number): number {
    let validUntilMs = Number.POSITIVE_INFINITY;
    for (const peer of peers) {
      const limitMs = silenceLimitMs(peer, this.#options.heartbeatTimeoutMs);
      const silentAtMs = peer.lastHeardAtMs + limitMs;
      if (silentAtMs < nowMs) continue;
      validUntilMs = Math.min(validUntilMs, silentAtMs);
    }
    return validUntilMs;
  }

  #toMember(peer: PeerRecord, nowMs: number): Member {
    const { heartbeatTimeoutMs } = this.#options;
    return {
      vmId: peer.vmId,
      dataCentre: peer.dataCentre,
      state: memberStateOf(peer, { nowMs, heartbeatTimeoutMs }),
      isSelf: false,
      generation: peer.generation,
      newsVersions: peer.newsVersions,
    };
  }

  #selfMember(): Member {
    const { self, registry } = this.#options;
    const isLeaving = this.isLeaving || registry.isSelfListedLeaving;
    const state: MemberState = isLeaving ? "leaving" : "live";
    return {
      vmId: self.vmId,
      dataCentre: self.dataCentre,
      state,
      isSelf: true,
      generation: this.ownGeneration,
      newsVersions: this.ownNewsVersions,
    };
  }
}
