/**
 * This daemon's record of one other daemon.
 *
 * @module
 */

import type {
  DataCentreName,
  Incarnation,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { StoreEra } from "@sassafrasstage/protocol/platform_objects";
import Emittery from "emittery";
import type { Address } from "../settings/settings.js";
import type { FrameChannel } from "./frame_channel.js";
import type { PeerIdentity } from "./peer_network.js";

/** A connection on which both sides are authenticated. */
export interface PeerLink {
  readonly identity: PeerIdentity;
  readonly dialedBy: VmId;
  readonly channel: FrameChannel;
  /** The configuration generation in the peer's hello message. */
  readonly helloGeneration: number;
  /** When the last frame was received. */
  lastFrameAtMs: number;
  /** When the last message other than a heartbeat was sent or received. */
  lastUsedAtMs: number;
}

/** The VM's state in the last applied platform list. */
export type ListedState = "neverListed" | "live" | "leaving" | "dropped";

/** Whether a connection is kept open, or made when a message is sent. */
export type LinkPolicy =
  | "standing"
  /**
   * Kept open with less frequent heartbeats, to learn configuration generations
   * from other data centres.
   */
  | "gossip"
  | "onDemand";

export interface PeerRecordOptions {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: Address | undefined;
  readonly isSeed: boolean;
}

/** Number of replaced incarnations that are remembered for each VM. */
const MAX_RETIRED_INCARNATIONS = 16;

/** The mutable state of one peer; used only by the modules in this folder. */
/** A frame that waits for an on-demand connection. */
export interface PendingFrame {
  readonly frame: Buffer;
  /** Called if the connection can't be made. */
  readonly onDropped: (() => void) | undefined;
}

export class PeerRecord {
  readonly vmId: VmId;
  readonly isSeed: boolean;
  readonly events = new Emittery<{ changed: undefined }>();
  dataCentre: DataCentreName;
  address: Address | undefined;
  link: PeerLink | undefined;
  /** Identity of the incarnation that was connected last. */
  lastIdentity: PeerIdentity | undefined;
  linkPolicy: LinkPolicy = "standing";
  listed: ListedState = "neverListed";
  lastHeardAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Set after a pause of this process: the peer counts as heard again only
   * after a reply to a heartbeat with a higher sequence number.
   */
  replyRequiredAfterSequence: number | undefined;
  /** The port refused a connection since the peer was last heard. */
  isRefused = false;
  /** A connection failed since the peer was last heard. */
  isSuspect = false;
  /** The peer announced that it is shutting down. */
  announcedLeaving = false;
  /** Removed from the registry, which ends the peer's task. */
  isRemoved = false;
  generation = 0;
  newsVersions: readonly number[] = [];
  newsEras: readonly StoreEra[] = [];
  /**
   * How many times as long as this VM's own interval is the time between the
   * peer's heartbeats; undefined if the peer doesn't state it, and expects every
   * heartbeat itself.
   */
  statedIntervals: number | undefined;
  /** Which of this VM's heartbeats go to the peer: each one, or each nth. */
  sentIntervals = 1;
  relaysCalls = false;
  takesObjectChanges = false;
  /** Undefined before the first heartbeat. */
  knowsRollouts: boolean | undefined = undefined;
  cutOffServices: readonly ServiceName[] = [];
  /** Processor capacity in the platform's list. */
  processorCores: number | undefined;
  /** Frames queued until an on-demand connection is made. */
  pendingFrames: PendingFrame[] = [];
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

  /** Records that a message from the peer's current incarnation arrived. */
  recordHeard(nowMs: number): void {
    if (this.replyRequiredAfterSequence !== undefined) return;
    this.lastHeardAtMs = nowMs;
    this.isRefused = false;
    this.isSuspect = false;
  }

  /** Marks the record as older than a pause of this process. */
  markStale(sequence: number): void {
    this.lastHeardAtMs = Number.NEGATIVE_INFINITY;
    this.replyRequiredAfterSequence = sequence;
  }

  notifyTask(): void {
    void this.events.emit("changed");
  }
}
