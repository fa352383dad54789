/**
 * The other daemons, as the rest of this daemon sees them.
 *
 * @module
 */

import type {
  DataCentreName,
  Incarnation,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type Emittery from "emittery";

export interface PeerIdentity {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
}

export type MemberState =
  /** Heard within the heartbeat timeout. */
  | "live"
  /** Connected or not, nothing was heard: paused, cut off, or dead. */
  | "silent"
  /** It said that it is shutting down. */
  | "leaving"
  /** Its port refuses connections, or the platform's list dropped it. */
  | "gone";

export interface Member {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly state: MemberState;
  readonly isSelf: boolean;
  /** The highest generation it told of; 0 before the first. */
  readonly generation: number;
  /**
   * The newest change that it told of for each kind of shared objects; absent
   * or empty before the first.
   */
  readonly newsVersions?: readonly number[];
}

export interface MembershipView {
  /** All known entry VMs, this one included, ordered by VM id. */
  readonly members: readonly Member[];
}

export interface Received<Message extends PeerMessage> {
  readonly from: PeerIdentity;
  readonly message: Message;
}

export type PeerMessageEvents = {
  readonly [Type in PeerMessageType]: Received<
    Extract<PeerMessage, { type: Type }>
  >;
};

export interface PeerLifeEvents {
  /** A peer proved who it is, and messages can be sent to it. */
  readonly connected: PeerIdentity;
  /** The connection ended. Whether the peer lives is not known from this. */
  readonly disconnected: PeerIdentity;
  readonly membershipChanged: MembershipView;
}

export interface PeerNetwork {
  readonly self: PeerIdentity;
  readonly messages: Emittery<PeerMessageEvents>;
  readonly life: Emittery<PeerLifeEvents>;
  /** False when there is no connection; nothing was sent then. */
  send(to: VmId, message: PeerMessage): boolean;
  view(nowMs: number): MembershipView;
}
