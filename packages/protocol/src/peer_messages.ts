/**
 * The messages between daemons. Each is sent as one `cbor-x` frame.
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
  ServiceName,
  VmId,
} from "./ids.js";
import type { PoisonPartNews } from "./poison_parts.js";
import type { StatedRateLimit } from "./rate_limits.js";
import type {
  RolloutPermits,
  RolloutPhaseNews,
  RolloutReport,
} from "./rollouts.js";
import type { RelayedCall, RelayedCallEvent } from "./server_calls.js";
import type { StageGraph, StageGraphOutcome } from "./stage_graph.js";
import type {
  BegunStreams,
  StreamOrigin,
  VersionObservation,
} from "./stream_origin.js";
import type { StoredObject, StoreEra, WatchEvent } from "./platform_objects.js";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "./permits.js";

/** Incremented whenever the format of a message changes. */
export const PEER_PROTOCOL_VERSION = 5;
/** A connection on which a longer frame arrives is closed. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** The first message on every connection, sent by the side that accepted it. */
export interface ChallengeMessage {
  readonly type: "challenge";
  readonly nonce: string;
}

/**
 * Authenticates the sender by a proof computed from the other side's nonce. Both
 * sides send it; apart from the challenge, no other message is read before it.
 */
export interface HelloMessage {
  readonly type: "hello";
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  readonly protocolVersion: number;
  readonly generation: number;
  /** The sender's nonce, from which the other side computes its proof. */
  readonly nonce: string;
  /**
   * HMAC-SHA-256 with the shared key, in hex, of the sender's role, the other
   * fields of this message, and the other side's nonce and VM id.
   */
  readonly proof: string;
}

/** Sent to each connected peer, to some of them less often. */
export interface HeartbeatMessage {
  readonly type: "heartbeat";
  /**
   * The next heartbeat on this connection follows within this time, apart from
   * delays. A VM that states it also accepts longer intervals than its own.
   */
  readonly intervalMs?: number;
  readonly sequence: number;
  readonly generation: number;
  readonly leaving: boolean;
  /** Pools that the sender owns or wants to own. */
  readonly ownedPools: readonly PoolId[];
  /** Requests a reply even if no pools are listed. */
  readonly wantsReply?: boolean;
  /**
   * The version of the latest change that the sender has seen, for each kind of
   * shared object. All daemons list the kinds in the same order.
   */
  readonly newsVersions?: readonly number[];
  /** The eras of these versions; absent if all are of the first. */
  readonly newsEras?: readonly StoreEra[];
  /**
   * Streams that began since the last heartbeat. Sent only to peers that get
   * every heartbeat.
   */
  readonly begunStreams?: readonly BegunStreams[];
  /** News since the last heartbeat, sent to the same peers. */
  readonly poisonParts?: PoisonPartNews;
  /**
   * The sender makes calls to servers for other VMs, and knows the messages for
   * that. Only such VMs get them.
   */
  readonly relaysCalls?: boolean;
  /** Services of which the sender reaches no server, but other VMs do. */
  readonly cutOffServices?: readonly ServiceName[];
  /** The sender knows the `objectChanges` message. Only such VMs get it. */
  readonly takesObjectChanges?: boolean;
  /**
   * The sender takes part in rollouts of software versions and knows the messages
   * for that. Only such VMs get them.
   */
  readonly knowsRollouts?: boolean;
  /**
   * Time since the platform's store answered the sender; present only if the
   * sender watches the store for the other VMs of its data centre.
   */
  readonly storeAgeMs?: number;
}

/** Reply to a heartbeat that lists pools or requests a reply. */
export interface HeartbeatReplyMessage {
  readonly type: "heartbeatReply";
  readonly sequence: number;
  readonly generation: number;
  /**
   * The listed pools for which the replying daemon supports the sender of the
   * heartbeat as owner.
   */
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

/**
 * The permit client has stopped waiting. A permit whose grant crosses this
 * message is released.
 */
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

/** A new owner asks for the permits granted before it took over the pool. */
export interface OutstandingRequestMessage {
  readonly type: "outstandingRequest";
  readonly pool: PoolId;
  readonly requestNumber: number;
}

export interface OutstandingPermit {
  readonly permit: Permit;
  readonly remainingMs: number;
}

/**
 * The last warm-up state of a backend server that the replying daemon knows.
 */
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

/** Sent by a daemon that has learned of a generation newer than its own. */
export interface ConfigurationRequestMessage {
  readonly type: "configurationRequest";
  readonly knownGeneration: number;
}

export interface ConfigurationMessage {
  readonly type: "configuration";
  readonly configuration: Configuration;
}

/**
 * Reply to a configuration request with only the changes instead of the whole
 * configuration, if the sender still has all of them.
 */
export interface ConfigurationDeltaMessage {
  readonly type: "configurationDelta";
  /** One per generation, from the requester's to the newest, in order. */
  readonly deltas: readonly ConfigurationDelta[];
}

/** Asks the VM that batches a partition's claims to commit one claim. */
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

/** Asks the coordinator to run the stages of one of the sender's requests. */
export interface StageGraphRunMessage {
  readonly type: "stageGraphRun";
  readonly requestNumber: number;
  /** The group of stage services, which one VM coordinates. */
  readonly group: string;
  readonly graph: StageGraph;
}

export interface StageGraphEndedMessage {
  readonly type: "stageGraphEnded";
  readonly requestNumber: number;
  readonly outcome: StageGraphOutcome;
}

/** The results have been used, or the request was abandoned. */
export interface StageGraphReleaseMessage {
  readonly type: "stageGraphRelease";
  readonly requestNumber: number;
}

/** Announces that the sender coordinates a group of stage services. */
export interface StageCoordinatingMessage {
  readonly type: "stageCoordinating";
  readonly group: string;
  readonly activeForMs: number;
  /** Set if a server has stated how long work takes there at present. */
  readonly isWorkTimeStated?: boolean;
}

/** The revision of the sender's copy of one kind of object. */
export interface KnownObjects {
  readonly prefix: string;
  /** Absent for the first. */
  readonly era?: StoreEra;
  readonly revision: number;
}

/** Sent by a daemon that has learned that peers have newer platform objects. */
export interface ObjectsRequestMessage {
  readonly type: "objectsRequest";
  readonly known: readonly KnownObjects[];
}

/** All objects of one kind at a revision. */
export interface ObjectsCopy {
  readonly prefix: string;
  /** Absent for the first. */
  readonly era?: StoreEra;
  readonly revision: number;
  /** The version of the latest change that the sender has seen. */
  readonly newsVersion: number;
  /** The version is 0 if the sender knows the object only from earlier eras. */
  readonly objects: readonly StoredObject[];
}

/** Changes of objects of one kind between two revisions. */
export interface ObjectChanges {
  readonly prefix: string;
  /** Absent for the first. */
  readonly era?: StoreEra;
  /** Earlier changes aren't included. */
  readonly after: number;
  /** Changes up to this revision are included. */
  readonly revision: number;
  /**
   * Absent if every change is included. The events are otherwise the difference
   * between the objects at this revision and at `revision`, without objects that
   * came and went in between.
   */
  readonly differenceFrom?: number;
  readonly events: readonly WatchEvent[];
}

/**
 * Changes that the sender has learned of, for VMs that don't watch the
 * platform's store themselves.
 */
export interface ObjectChangesMessage {
  readonly type: "objectChanges";
  readonly changes: ObjectChanges;
  /** Time since the last outage of the store ended, if that isn't long ago. */
  readonly recoveredAgeMs?: number;
}

export interface ObjectsMessage {
  readonly type: "objects";
  readonly copies: readonly ObjectsCopy[];
}

/** Tells of a change of the rate limit that a backend server states. */
export interface RateLimitChangeMessage {
  readonly type: "rateLimitChange";
  readonly backendServerId: BackendServerId;
  readonly stated: StatedRateLimit;
  /** Requests that the receiver tells the other VMs of its data centre. */
  readonly relay: boolean;
}

/** Asks the owner of a server's rate limit for one request to the server. */
export interface RateRequestMessage {
  readonly type: "rateRequest";
  readonly requestNumber: number;
  readonly backendServerId: BackendServerId;
  /** The limit as known to the sender. */
  readonly requestsPerSecond: number;
  readonly stated?: StatedRateLimit | undefined;
}

export interface RateDecisionMessage {
  readonly type: "rateDecision";
  readonly requestNumber: number;
  readonly isGranted: boolean;
  /** Time until the next request may be granted; 0 for a granted one. */
  readonly retryAfterMs: number;
  readonly stated?: StatedRateLimit | undefined;
}

/** Streams that began at another VM. */
export interface StreamsBegunMessage {
  readonly type: "streamsBegun";
  /** Whether the receiver tells VMs of its data centre; absent means yes. */
  readonly relay?: boolean;
  readonly begunStreams: readonly BegunStreams[];
}

/** Crashes and successes that are known to the sender. */
export interface PoisonPartsMessage {
  readonly type: "poisonParts";
  readonly news: PoisonPartNews;
  /** Whether the receiver tells the other VMs of its data centre. */
  readonly relay: boolean;
}

/** Asks where the stream began whose first event an attempt brought. */
export interface StreamOriginRequestMessage {
  readonly type: "streamOriginRequest";
  readonly requestNumber: number;
  /** Absent if the client didn't name the attempt. */
  readonly attemptId?: AttemptId | undefined;
  /** The service whose versions the receiver reports. */
  readonly service: ServiceName;
}

export interface StreamOriginReplyMessage {
  readonly type: "streamOriginReply";
  readonly requestNumber: number;
  /** Absent if the sender doesn't know. */
  readonly origin?: StreamOrigin | undefined;
  readonly observation: VersionObservation;
}

/** Asks the receiver to call a server that the sender doesn't reach. */
export interface ServerCallMessage {
  readonly type: "serverCall";
  readonly callNumber: number;
  readonly call: RelayedCall;
}

/** The next part of the request's body. */
export interface ServerCallBodyMessage {
  readonly type: "serverCallBody";
  readonly callNumber: number;
  readonly data: Uint8Array;
}

export interface ServerCallCancelMessage {
  readonly type: "serverCallCancel";
  readonly callNumber: number;
}

/** The sender has taken this many further bytes of the response. */
export interface ServerCallCreditMessage {
  readonly type: "serverCallCredit";
  readonly callNumber: number;
  readonly bytes: number;
}

/** What happens to a call that the sender makes for the receiver. */
export interface ServerCallEventMessage {
  readonly type: "serverCallEvent";
  readonly callNumber: number;
  readonly event: RelayedCallEvent;
}

/** Asks whether the receiver can connect to a server. */
export interface ServerReachRequestMessage {
  readonly type: "serverReachRequest";
  readonly requestNumber: number;
  readonly backendServerId: BackendServerId;
}

export interface ServerReachReplyMessage {
  readonly type: "serverReachReply";
  readonly requestNumber: number;
  readonly isReached: boolean;
}

/** What the sender counted during a rollout, for the rollout owner. */
export interface RolloutReportMessage {
  readonly type: "rolloutReport";
  readonly service: ServiceName;
  readonly report: RolloutReport;
}

/** The rollout owner's reply to a report. */
export interface RolloutPermitsMessage {
  readonly type: "rolloutPermits";
  readonly service: ServiceName;
  readonly permits: RolloutPermits;
}

/** Tells of the phase of a rollout as soon as the owner has decided on it. */
export interface RolloutPhaseMessage {
  readonly type: "rolloutPhase";
  readonly service: ServiceName;
  readonly news: RolloutPhaseNews;
  /** Whether the receiver tells the other VMs of its data centre. */
  readonly relay: boolean;
}

/** Graceful shutdown: the sender takes no new work and gives up its pools. */
export interface LeavingMessage {
  readonly type: "leaving";
  readonly vmId: VmId;
}

/** Messages that are allowed after the hello message. */
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
  | ObjectChangesMessage
  | RateLimitChangeMessage
  | RateRequestMessage
  | RateDecisionMessage
  | StreamsBegunMessage
  | PoisonPartsMessage
  | StreamOriginRequestMessage
  | StreamOriginReplyMessage
  | ServerCallMessage
  | ServerCallBodyMessage
  | ServerCallCancelMessage
  | ServerCallCreditMessage
  | ServerCallEventMessage
  | ServerReachRequestMessage
  | ServerReachReplyMessage
  | RolloutReportMessage
  | RolloutPermitsMessage
  | RolloutPhaseMessage
  | LeavingMessage;

export type PeerMessageType = PeerMessage["type"];
