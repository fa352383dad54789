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

/** `state` if a member was added or removed, or its state or place changed. */
type ViewChange = "none" | "details" | "state";

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
  ownTakesObjectChanges = false;
  ownKnowsRollouts = false;
  ownCutOffServices: readonly ServiceName[] = [];
  /** Whether this VM has announced that it is shutting down. */
  isLeaving = false;
  #view: MembershipView = { members: [] };
  /** Until this time no peer can become silent, so the view stays valid. */
  #validUntilMs = Number.NEGATIVE_INFINITY;
  readonly #members = new Map<PeerRecord, Member>();
  #self: Member | undefined;

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
    const change = this.#updateMembers(peers, nowMs);
    this.#validUntilMs = this.#computeValidUntilMs(peers, nowMs);
    if (change === "none") return this.#view;
    this.#view = { members: this.#sortedMembers() };
    if (change === "state") this.#options.onChanged(this.#view);
    return this.#view;
  }

  /** Replaces the members that differ, so that a large view is cheap to keep. */
  #updateMembers(peers: readonly PeerRecord[], nowMs: number): ViewChange {
    const own = this.#selfMember();
    let change = compareMembers(this.#self, own);
    if (change !== "none") this.#self = own;
    for (const peer of peers) {
      const known = this.#members.get(peer);
      const member = this.#toMember(peer, nowMs);
      const memberChange = compareMembers(known, member);
      if (memberChange === "none") continue;
      this.#members.set(peer, member);
      if (change !== "state") change = memberChange;
    }
    if (this.#members.size === peers.length) return change;
    const present = new Set(peers);
    for (const peer of this.#members.keys()) {
      if (!present.has(peer)) this.#members.delete(peer);
    }
    return "state";
  }

  #sortedMembers(): Member[] {
    const members = [...this.#members.values()];
    if (this.#self !== undefined) members.push(this.#self);
    return members.sort((a, b) => compareText(a.vmId, b.vmId));
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
      takesObjectChanges: peer.takesObjectChanges,
      ...(peer.knowsRollouts !== undefined &&
        { knowsRollouts: peer.knowsRollouts }),
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
      takesObjectChanges: this.ownTakesObjectChanges,
      knowsRollouts: this.ownKnowsRollouts,
      cutOffServices: this.ownCutOffServices,
      processorCores: registry.selfProcessorCores,
    };
  }
}

function compareMembers(known: Member | undefined, member: Member): ViewChange {
  if (known === undefined) return "state";
  if (known.state !== member.state || known.dataCentre !== member.dataCentre) {
    return "state";
  }
  const isSame = known.generation === member.generation &&
    known.newsVersions === member.newsVersions &&
    known.newsEras === member.newsEras &&
    known.relaysCalls === member.relaysCalls &&
    known.takesObjectChanges === member.takesObjectChanges &&
    known.knowsRollouts === member.knowsRollouts &&
    known.cutOffServices === member.cutOffServices &&
    known.processorCores === member.processorCores;
  return isSame ? "none" : "details";
}
