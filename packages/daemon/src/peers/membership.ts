/**
 * The membership view: computed from the peer registry and cached until it can
 * change.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { StoreEra } from "@sassafrasstage/protocol/platform_objects";
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
  /**
   * Called when a member is added or removed, or its state or data centre
   * changes.
   */
  readonly onChanged: (view: MembershipView) => void;
}

/** Computes the view at a given time and reports its changes. */
export class Membership {
  readonly #options: MembershipOptions;
  /** The configuration generation in force at this VM. */
  ownGeneration = 0;
  /** Version of the newest change seen by this VM for each kind of object. */
  ownNewsVersions: readonly number[] = [];
  /** The eras of these versions. */
  ownNewsEras: readonly StoreEra[] = [];
  ownRelaysCalls = false;
  ownCutOffServices: readonly ServiceName[] = [];
  /** Whether this VM has announced that it is shutting down. */
  isLeaving = false;
  #view: MembershipView = { members: [] };
  /** Until this time no peer can become silent, so the view stays valid. */
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #signature = "";

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Has to be called after every change other than the passing of time. */
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

  /**
   * Returns the earliest time at which a peer can become silent. A message that
   * arrives later only postpones that time, so it needs no recomputation.
   */
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
      newsEras: peer.newsEras,
      relaysCalls: peer.relaysCalls,
      cutOffServices: peer.cutOffServices,
      processorCores: peer.processorCores,
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
      newsEras: this.ownNewsEras,
      relaysCalls: this.ownRelaysCalls,
      cutOffServices: this.ownCutOffServices,
      processorCores: registry.selfProcessorCores,
    };
  }
}
