/**
 * What this daemon knows of one other daemon.
 *
 * @module
 */

import type {
  DataCentreName,
  Incarnation,
  VmId,
} from "@sassafrasstage/protocol/ids";
import Emittery from "emittery";
import type { Address } from "../settings/settings.js";
import type { FrameChannel } from "./frame_channel.js";
import type { PeerIdentity } from "./peer_network.js";

/** A connection on which both sides have proved who they are. */
export interface PeerLink {
  readonly identity: PeerIdentity;
  readonly dialedBy: VmId;
  readonly channel: FrameChannel;
  /** The generation that the hello told of. */
  readonly helloGeneration: number;
  /** When the last frame came. */
  lastFrameAtMs: number;
  /** When the last message that isn't a heartbeat was sent or came. */
  lastUsedAtMs: number;
}

/** How the platform's list last showed the VM. */
export type ListedState = "neverListed" | "live" | "leaving" | "dropped";

/** Whether a connection is kept up, or made by the first message. */
export type LinkNeed =
  | "standing"
  /** Kept up with rare heartbeats, to hear of generations from afar. */
  | "gossip"
  | "onDemand";

export interface PeerRecordOptions {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: Address | undefined;
  readonly isSeed: boolean;
}

/** How many replaced process lives are remembered for each VM. */
const MAX_RETIRED_INCARNATIONS = 16;

/** Mutable; only the modules of this folder hold one. */
export class PeerRecord {
  readonly vmId: VmId;
  readonly isSeed: boolean;
  readonly events = new Emittery<{ changed: undefined }>();
  dataCentre: DataCentreName;
  address: Address | undefined;
  link: PeerLink | undefined;
  /** The process life that was connected last. */
  lastIdentity: PeerIdentity | undefined;
  linkNeed: LinkNeed = "standing";
  listed: ListedState = "neverListed";
  lastHeardAtMs = Number.NEGATIVE_INFINITY;
  /** After a pause: a reply to a later heartbeat is needed to be heard. */
  heardAfterSequence: number | undefined;
  /** The port refused a connection since the peer was last heard. */
  isRefused = false;
  /** A connection failed since the peer was last heard. */
  isSuspect = false;
  /** The peer said that it is shutting down. */
  saidLeaving = false;
  /** No longer known: its task ends. */
  isForgotten = false;
  generation = 0;
  newsVersions: readonly number[] = [];
  /** Frames that wait for a connection made on demand. */
  pendingFrames: Buffer[] = [];
  readonly #retired: Incarnation[] = [];

  constructor(options: PeerRecordOptions) {
    this.vmId = options.vmId;
    this.dataCentre = options.dataCentre;
    this.address = options.address;
    this.isSeed = options.isSeed;
  }

  isRetired(incarnation: Incarnation): boolean {
    return this.#retired.includes(incarnation);
  }

  retire(incarnation: Incarnation): void {
    this.#retired.push(incarnation);
    if (this.#retired.length > MAX_RETIRED_INCARNATIONS) this.#retired.shift();
  }

  /** Something came from the peer's present process life. */
  markHeard(nowMs: number): void {
    if (this.heardAfterSequence !== undefined) return;
    this.lastHeardAtMs = nowMs;
    this.isRefused = false;
    this.isSuspect = false;
  }

  /** All that is known is older than a pause of this process. */
  markStale(sequence: number): void {
    this.lastHeardAtMs = Number.NEGATIVE_INFINITY;
    this.heardAfterSequence = sequence;
  }

  notifyTask(): void {
    void this.events.emit("changed");
  }
}
