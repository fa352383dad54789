/**
 * The interface of the peer network for the rest of the daemon.
 *
 * @module
 */

import type {
  DataCentreName,
  Incarnation,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type { StoreEra } from "@sassafrasstage/protocol/platform_objects";
import type Emittery from "emittery";

export interface PeerIdentity {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
}

export type MemberState =
  /** Heard within the heartbeat timeout, or presumed to be live. */
  | "live"
  /**
   * Nothing was heard within the timeout, with or without a connection: the
   * peer is paused, unreachable or dead.
   */
  | "silent"
  /** Announced its shutdown, or is listed as leaving by the platform. */
  | "leaving"
  /**
   * Its port refuses connections, or it is silent and no longer in the
   * platform's list.
   */
  | "gone";

export interface Member {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly state: MemberState;
  readonly isSelf: boolean;
  /** The highest configuration generation it reported; 0 before the first. */
  readonly generation: number;
  /**
   * Version of the newest change that it reported for each kind of shared
   * object; absent or empty before the first report.
   */
  readonly newsVersions?: readonly number[];
  /** The eras of these versions; absent or empty if all are of the first. */
  readonly newsEras?: readonly StoreEra[];
  /** Whether it makes calls to servers for other VMs. */
  readonly relaysCalls?: boolean;
  /** Whether it takes changes of objects from other VMs. */
  readonly takesObjectChanges?: boolean;
  /**
   * Whether it takes part in rollouts of software versions; absent before its
   * first heartbeat.
   */
  readonly knowsRollouts?: boolean;
  /** Services of which it reaches no server, but other VMs do. */
  readonly cutOffServices?: readonly ServiceName[];
  /** Processor capacity in cores; undefined or absent if it isn't known. */
  readonly processorCores?: number | undefined;
}

export interface MembershipView {
  /** All known entry VMs, this one included, ordered by VM id. */
  readonly members: readonly Member[];
}

export interface ReceivedPeerMessage<Message extends PeerMessage> {
  readonly from: PeerIdentity;
  readonly message: Message;
}

export type PeerMessageEvents = {
  readonly [Type in PeerMessageType]: ReceivedPeerMessage<
    Extract<PeerMessage, { type: Type }>
  >;
};

export interface PeerLifecycleEvents {
  /** A peer was authenticated, and messages can be sent to it. */
  readonly connected: PeerIdentity;
  /** The connection ended. The peer itself may still be running. */
  readonly disconnected: PeerIdentity;
  readonly membershipChanged: MembershipView;
}

export interface PeerNetwork {
  readonly self: PeerIdentity;
  readonly messages: Emittery<PeerMessageEvents>;
  readonly lifecycle: Emittery<PeerLifecycleEvents>;
  /**
   * Returns false if the message was neither sent nor queued.
   *
   * @param onDropped Called if the message was queued and won't be sent
   */
  send(to: VmId, message: PeerMessage, onDropped?: () => void): boolean;
  /** Encodes the message once; VMs to which it can't be sent are skipped. */
  sendToAll(to: readonly VmId[], message: PeerMessage): void;
  view(nowMs: number): MembershipView;
}
