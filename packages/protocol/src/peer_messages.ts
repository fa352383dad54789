/**
 * The messages between daemons. Each is one `cbor-x` frame.
 *
 * @module
 */

import type { ClaimKey, ClaimOutcome, ClaimRecord } from "./claims.js";
import type { Configuration } from "./configuration.js";
import type { ConfigurationDelta } from "./configuration_delta.js";
import type {
  AttemptId,
  BackendServerId,
  DataCentreName,
  Incarnation,
  PoolId,
  VmId,
} from "./ids.js";
import type { StageGraph, StageGraphOutcome } from "./stage_graph.js";
import type { StoredObject } from "./platform_objects.js";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "./permits.js";

/** Raised whenever a message changes its form. */
export const PEER_PROTOCOL_VERSION = 2;
/** A longer frame closes the connection. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** First on every connection, from the side that accepted it. */
export interface ChallengeMessage {
  readonly type: "challenge";
  readonly nonce: string;
}

/** Answers a challenge, in both directions, before anything else is read. */
export interface HelloMessage {
  readonly type: "hello";
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  readonly protocolVersion: number;
  readonly generation: number;
  /** A nonce of the sender for the other side to prove itself with. */
  readonly nonce: string;
  /** HMAC-SHA-256 of the other side's nonce with the shared key, in hex. */
  readonly proof: string;
}

/** Sent at a fixed interval to each peer of the data centre. */
export interface HeartbeatMessage {
  readonly type: "heartbeat";
  readonly sequence: number;
  readonly generation: number;
  readonly leaving: boolean;
  /** Pools that the sender owns or wants to own. */
  readonly ownedPools: readonly PoolId[];
  /** Asks for a reply even if no pools are named. */
  readonly wantsReply?: boolean;
  /**
   * The newest change that the sender has seen of each kind of shared objects,
   * in the order in which all daemons list the kinds.
   */
  readonly newsVersions?: readonly number[];
}

/** Answers a heartbeat that names pools or wants a reply. */
export interface HeartbeatReplyMessage {
  readonly type: "heartbeatReply";
  readonly sequence: number;
  readonly generation: number;
  /** Those of the asked pools for which the replier backs the permit client. */
  readonly supportedPools: readonly PoolId[];
}

export interface PermitRequestMessage {
  readonly type: "permitRequest";
  readonly permitRequest: PermitRequest;
}

export interface PermitDecisionMessage {
  readonly type: "permitDecision";
  readonly attemptId: AttemptId;
  readonly decision: PermitDecision;
}

/** The permit client no longer waits; a permit that crosses this is released. */
export interface PermitCancelMessage {
  readonly type: "permitCancel";
  readonly pool: PoolId;
  readonly attemptId: AttemptId;
}

export interface PermitReleaseMessage {
  readonly type: "permitRelease";
  readonly pool: PoolId;
  readonly release: PermitRelease;
}

/** A new owner permit requests what was granted before it took the pool over. */
export interface OutstandingRequestMessage {
  readonly type: "outstandingRequest";
  readonly pool: PoolId;
  readonly requestNumber: number;
}

export interface OutstandingPermit {
  readonly permit: Permit;
  readonly remainingMs: number;
}

/** What the replier last knew of a backend server's warmth. */
export interface WarmUpObservation {
  readonly backendServerId: BackendServerId;
  readonly warmUpState: "cold" | "warm";
  readonly ageMs: number;
}

export interface OutstandingReplyMessage {
  readonly type: "outstandingReply";
  readonly pool: PoolId;
  readonly requestNumber: number;
  readonly permits: readonly OutstandingPermit[];
  readonly observations: readonly WarmUpObservation[];
}

/** The sender has a lower generation than it has heard of. */
export interface ConfigurationRequestMessage {
  readonly type: "configurationRequest";
  readonly knownGeneration: number;
}

export interface ConfigurationMessage {
  readonly type: "configuration";
  readonly configuration: Configuration;
}

/** Answers a request in place of the whole, where the changes are known. */
export interface ConfigurationDeltaMessage {
  readonly type: "configurationDelta";
  /** One for each generation from the permit client's to the newest, in order. */
  readonly deltas: readonly ConfigurationDelta[];
}

/** Asks the VM that gathers a partition's claims to commit one. */
export interface ClaimRequestMessage {
  readonly type: "claimRequest";
  readonly requestNumber: number;
  readonly record: ClaimRecord;
}

export type ClaimReply =
  | { readonly kind: "committed" }
  | { readonly kind: "existing"; readonly record: ClaimRecord }
  | { readonly kind: "unavailable" };

export interface ClaimReplyMessage {
  readonly type: "claimReply";
  readonly requestNumber: number;
  readonly reply: ClaimReply;
}

export interface ClaimOutcomeMessage {
  readonly type: "claimOutcome";
  readonly requestNumber: number;
  readonly key: ClaimKey;
  readonly attemptId: AttemptId;
  readonly outcome: ClaimOutcome;
}

export interface ClaimOutcomeReplyMessage {
  readonly type: "claimOutcomeReply";
  readonly requestNumber: number;
  readonly recorded: boolean;
}

/** Has the stages of one of the sender's requests run. */
export interface StageGraphRunMessage {
  readonly type: "stageGraphRun";
  readonly requestNumber: number;
  /** Names the stage services that one VM coordinates. */
  readonly group: string;
  readonly graph: StageGraph;
}

export interface StageGraphEndedMessage {
  readonly type: "stageGraphEnded";
  readonly requestNumber: number;
  readonly outcome: StageGraphOutcome;
}

/** The results were used, or the request was given up. */
export interface StageGraphReleaseMessage {
  readonly type: "stageGraphRelease";
  readonly requestNumber: number;
}

/** The sender coordinates a group of stage services. */
export interface StageCoordinatingMessage {
  readonly type: "stageCoordinating";
  readonly group: string;
  readonly activeForMs: number;
}

/** How far the sender's copy of one kind of objects goes. */
export interface KnownObjects {
  readonly prefix: string;
  readonly revision: number;
}

/** The sender has heard that others know newer objects of the platform. */
export interface ObjectsRequestMessage {
  readonly type: "objectsRequest";
  readonly known: readonly KnownObjects[];
}

/** All objects of one kind, as of a revision. */
export interface ObjectsCopy {
  readonly prefix: string;
  readonly revision: number;
  readonly newsVersion: number;
  readonly objects: readonly StoredObject[];
}

export interface ObjectsMessage {
  readonly type: "objects";
  readonly copies: readonly ObjectsCopy[];
}

/** An orderly end: the sender takes no new work and gives up its pools. */
export interface LeavingMessage {
  readonly type: "leaving";
  readonly vmId: VmId;
}

/** Messages that may follow the hello. */
export type PeerMessage =
  | HeartbeatMessage
  | HeartbeatReplyMessage
  | PermitRequestMessage
  | PermitDecisionMessage
  | PermitCancelMessage
  | PermitReleaseMessage
  | OutstandingRequestMessage
  | OutstandingReplyMessage
  | ConfigurationRequestMessage
  | ConfigurationMessage
  | ConfigurationDeltaMessage
  | ClaimRequestMessage
  | ClaimReplyMessage
  | ClaimOutcomeMessage
  | ClaimOutcomeReplyMessage
  | StageGraphRunMessage
  | StageGraphEndedMessage
  | StageGraphReleaseMessage
  | StageCoordinatingMessage
  | ObjectsRequestMessage
  | ObjectsMessage
  | LeavingMessage;

export type PeerMessageType = PeerMessage["type"];
