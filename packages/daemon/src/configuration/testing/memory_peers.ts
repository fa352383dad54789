/**
 * An in-memory peer network, for unit tests.
 *
 * @module
 */

import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import Emittery from "emittery";
import type {
  MembershipView,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
  PeerNetwork,
} from "../../peers/peer_network.js";

/** The peer networks of all daemons of a test. */
export class MemoryPeers {
  readonly networks = new Map<VmId, MemoryPeerNetwork>();
  /** Messages for which this returns true wait for `deliverHeld`. */
  isHeldBack: (message: PeerMessage) => boolean = () => false;
  readonly held: (() => Promise<void>)[] = [];

  async join(name: string, dataCentre: string): Promise<MemoryPeerNetwork> {
    const network = new MemoryPeerNetwork(this, {
      vmId: toId<VmId>(name),
      incarnation: toId<Incarnation>(`${name}/1`),
      dataCentre: toId<DataCentreName>(dataCentre),
    });
    this.networks.set(network.self.vmId, network);
    await this.connectAll();
    return network;
  }

  /** Connects all reachable pairs, as after the end of a network partition. */
  async connectAll(): Promise<void> {
    for (const one of this.networks.values()) {
      for (const other of this.networks.values()) {
        if (!one.reaches(other)) continue;
        await one.lifecycle.emit("connected", other.self);
      }
      await one.lifecycle.emit("membershipChanged", one.view());
    }
  }

  /** Delivers the held messages in the given order of indexes. */
  async deliverHeld(order: readonly number[]): Promise<void> {
    for (const index of order) await this.held[index]?.();
  }

  close(): void {
    for (const network of this.networks.values()) network.stop();
  }
}

/** The peer network as seen by one daemon. */
export class MemoryPeerNetwork implements PeerNetwork {
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  readonly generations: number[] = [];
  /** While true, this daemon neither sends nor receives, nor counts as live. */
  isDisconnected = false;
  readonly self: PeerIdentity;
  readonly #peers: MemoryPeers;
  readonly #timer: NodeJS.Timeout;

  constructor(peers: MemoryPeers, self: PeerIdentity) {
    this.#peers = peers;
    this.self = self;
    this.#timer = setInterval(() => {
      this.#sendHeartbeats();
    }, 50);
  }

  get generation(): number {
    return this.generations.at(-1) ?? 0;
  }

  setGeneration(generation: number): void {
    this.generations.push(generation);
  }

  reaches(other: MemoryPeerNetwork): boolean {
    return other !== this && !this.isDisconnected && !other.isDisconnected;
  }

  send(to: VmId, message: PeerMessage): boolean {
    const receiver = this.#peers.networks.get(to);
    if (receiver === undefined || !this.reaches(receiver)) return false;
    const copy = structuredClone(message);
    const deliver = () => receiver.receive(this.self, copy);
    if (this.#peers.isHeldBack(message)) this.#peers.held.push(deliver);
    else void deliver();
    return true;
  }

  sendToAll(to: readonly VmId[], message: PeerMessage): void {
    for (const vmId of to) this.send(vmId, message);
  }

  async receive(from: PeerIdentity, message: PeerMessage): Promise<void> {
    if (this.isDisconnected) return;
    const received = {
      from,
      message,
    } as PeerMessageEvents[PeerMessage["type"]];
    await this.messages.emit(message.type, received);
  }

  view(): MembershipView {
    const members = [...this.#peers.networks.values()].map((network) => ({
      vmId: network.self.vmId,
      dataCentre: network.self.dataCentre,
      state: network === this || this.reaches(network)
        ? "live" as const
        : "silent" as const,
      isSelf: network === this,
      generation: network.generation,
    }));
    return { members };
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sendHeartbeats(): void {
    for (const other of this.#peers.networks.values()) {
      if (other.self.dataCentre !== this.self.dataCentre) continue;
      this.send(other.self.vmId, {
        type: "heartbeat",
        sequence: 0,
        generation: this.generation,
        leaving: false,
        ownedPools: [],
      });
    }
  }
}
