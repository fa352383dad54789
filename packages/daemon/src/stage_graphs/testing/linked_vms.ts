/**
 * Two VMs connected by one link that tests can break and restore.
 *
 * @module
 */

import {
  type DataCentreName,
  type Incarnation,
  type ServiceName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type { StoreEra } from "@sassafrasstage/protocol/platform_objects";
import Emittery from "emittery";
import type {
  MembershipView,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
  PeerNetwork,
} from "../../peers/peer_network.js";

export class LinkedVm implements PeerNetwork {
  readonly self: PeerIdentity;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  other: LinkedVm | undefined;
  isLinked = true;
  newsVersions: readonly number[] = [];
  newsEras: readonly StoreEra[] = [];
  generation = 0;
  relaysCalls = true;
  cutOffServices: readonly ServiceName[] = [];
  /** Types of the messages sent by this VM. */
  readonly sent: PeerMessageType[] = [];

  constructor(name: string) {
    this.self = {
      vmId: toId<VmId>(name),
      incarnation: toId<Incarnation>(`${name}-1`),
      dataCentre: toId<DataCentreName>("east"),
    };
  }

  send(_to: VmId, message: PeerMessage): boolean {
    if (!this.isLinked || this.other === undefined) return false;
    this.sent.push(message.type);
    // The compiler can't infer that the message matches its type.
    const event = { from: this.self, message } as PeerMessageEvents[
      PeerMessageType
    ];
    void this.other.messages.emit(message.type, event);
    return true;
  }

  sendToAll(to: readonly VmId[], message: PeerMessage): void {
    for (const vmId of to) this.send(vmId, message);
  }

  view(): MembershipView {
    return {
      members: [this, this.other].flatMap((vm) =>
        vm === undefined ? [] : [{
          vmId: vm.self.vmId,
          dataCentre: vm.self.dataCentre,
          state: "live" as const,
          isSelf: vm === this,
          generation: vm.generation,
          newsVersions: vm.newsVersions,
          newsEras: vm.newsEras,
          relaysCalls: vm.relaysCalls,
          cutOffServices: vm.cutOffServices,
        }]
      ),
    };
  }

  setBegunStreams(): void {
    // The streams of the other VM don't matter to its tests.
  }

  setPoisonPartNews(): void {
    // Nor do its prompt parts.
  }

  setNewsVersions(
    versions: readonly number[],
    eras: readonly StoreEra[],
  ): void {
    this.newsVersions = versions;
    this.newsEras = eras;
  }

  async setLinked(isLinked: boolean): Promise<void> {
    this.isLinked = isLinked;
    const { other } = this;
    if (other === undefined) return;
    await this.lifecycle.emit(
      isLinked ? "connected" : "disconnected",
      other.self,
    );
  }
}

/** Breaks or restores the link at both ends. */
export async function setLinked(
  vms: readonly LinkedVm[],
  isLinked: boolean,
): Promise<void> {
  await Promise.all(vms.map((vm) => vm.setLinked(isLinked)));
}
