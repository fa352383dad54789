/**
 * Sends the messages of rollouts to the VMs that know them, and chooses the VM
 * that owns the rollout of a service.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { RolloutPhaseNews } from "@sassafrasstage/protocol/rollouts";
import type {
  Member,
  MembershipView,
  PeerNetwork,
} from "../peers/peer_network.js";
import {
  findReachableMembers,
  groupByDataCentre,
} from "../peers/reachable_members.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

/** More than one, so that news arrives although one of them has failed. */
const RELAYS_PER_DATA_CENTRE = 2;
/** Interval at which a connection is made to a VM that wasn't heard yet. */
const PROBE_INTERVAL_MS = 500;
/** No question has this number, so the receiver ignores the message. */
const UNUSED_REQUEST_NUMBER = 0;

export class RolloutPeers {
  readonly #network: PeerNetwork;
  readonly #owners = new Map<ServiceName, VmId>();
  readonly #probedAtMs = new Map<VmId, number>();
  #members = new Map<VmId, Member>();
  #view: MembershipView | undefined;

  constructor(network: PeerNetwork) {
    this.#network = network;
  }

  /** VMs in contact, this one included, that may take part in rollouts. */
  participants(nowMs: number): Member[] {
    this.#update(nowMs);
    return [...this.#members.values()].filter(isParticipant);
  }

  /** The VM that owns the rollout of the service, as seen from this VM. */
  ownerOf(service: ServiceName, nowMs: number): VmId {
    this.#update(nowMs);
    let owner = this.#owners.get(service);
    if (owner === undefined) {
      const vmIds = this.participants(nowMs).map(({ vmId }) => vmId);
      owner = rankByRendezvous(`rollout ${service}`, vmIds)[0] ??
        this.#network.self.vmId;
      this.#owners.set(service, owner);
    }
    return owner;
  }

  /**
   * Sends a message that only VMs of newer builds know. One that wasn't heard
   * yet gets a message that every build ignores, so that a connection is made
   * on which its heartbeat says what it knows.
   */
  send(to: VmId, message: PeerMessage, nowMs: number): boolean {
    this.#update(nowMs);
    const member = this.#members.get(to);
    if (member?.knowsRollouts === true) return this.#network.send(to, message);
    if (member?.knowsRollouts === undefined) this.#probe(to, nowMs);
    return false;
  }

  /**
   * Tells the VMs of this data centre and the given ones, and a few of each
   * other data centre that tell those of theirs.
   */
  tellAll(
    service: ServiceName,
    news: RolloutPhaseNews,
    options: { readonly known: readonly VmId[]; readonly nowMs: number },
  ): void {
    const { dataCentre } = this.#network.self;
    const others = this.#others(options.nowMs);
    const known = new Set(options.known);
    const direct = others.filter((member) =>
      member.dataCentre === dataCentre || known.has(member.vmId)
    );
    this.#tell(direct, { service, news, relay: false });
    const elsewhere = others.filter((member) =>
      member.dataCentre !== dataCentre
    );
    const relays = new Set(
      [...groupByDataCentre(elsewhere).values()].flatMap((vmIds) =>
        rankByRendezvous(service, vmIds).slice(0, RELAYS_PER_DATA_CENTRE)
      ),
    );
    this.#tell(elsewhere.filter(({ vmId }) => relays.has(vmId)), {
      service,
      news,
      relay: true,
    });
  }

  /** Passes news on to the VMs of this data centre. */
  relay(
    service: ServiceName,
    news: RolloutPhaseNews,
    options: { readonly except: VmId; readonly nowMs: number },
  ): void {
    const { dataCentre } = this.#network.self;
    const members = this.#others(options.nowMs).filter((member) =>
      member.dataCentre === dataCentre && member.vmId !== options.except
    );
    this.#tell(members, { service, news, relay: false });
  }

  #tell(
    members: readonly Member[],
    message: {
      readonly service: ServiceName;
      readonly news: RolloutPhaseNews;
      readonly relay: boolean;
    },
  ): void {
    this.#network.sendToAll(members.map(({ vmId }) => vmId), {
      type: "rolloutPhase",
      ...message,
    });
  }

  #others(nowMs: number): Member[] {
    return findReachableMembers(this.#network.view(nowMs))
      .filter(({ knowsRollouts }) => knowsRollouts === true);
  }

  #probe(to: VmId, nowMs: number): void {
    const probedAtMs = this.#probedAtMs.get(to) ?? -Infinity;
    if (nowMs - probedAtMs < PROBE_INTERVAL_MS) return;
    this.#probedAtMs.set(to, nowMs);
    this.#network.send(to, {
      type: "rateDecision",
      requestNumber: UNUSED_REQUEST_NUMBER,
      isGranted: false,
      retryAfterMs: 0,
    });
  }

  #update(nowMs: number): void {
    const view = this.#network.view(nowMs);
    if (view === this.#view) return;
    this.#view = view;
    this.#owners.clear();
    this.#members = new Map(
      view.members.map((member) => [member.vmId, member]),
    );
  }
}

/** VMs that haven't been heard yet are taken to be of the same build. */
function isParticipant({ state, knowsRollouts }: Member): boolean {
  return state === "live" && knowsRollouts !== false;
}
