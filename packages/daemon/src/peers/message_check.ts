/**
 * Validates decoded frames as messages between daemons.
 *
 * @module
 */

import type {
  ChallengeMessage,
  HelloMessage,
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import {
  arrayOf,
  isBoolean,
  isBytes,
  isFiniteNumber,
  isNonNegativeInteger,
  isNonNegativeNumber,
  isShortString,
  isString,
  oneOf,
  optional,
  shape,
  type ShapeCheck,
  variant,
} from "./message_shape.js";
import { isRelayedCall, isRelayedCallEvent } from "./relayed_call_check.js";
import {
  isRolloutPermits,
  isRolloutPhaseNews,
  isRolloutReport,
} from "./rollout_check.js";

const isPool = shape({ service: isShortString, dataCentre: isShortString });

const isWarmUpState = oneOf("cold", "warm");

const isPermit = shape({
  permitId: isShortString,
  attemptId: isShortString,
  pool: isPool,
  backendServerId: isShortString,
  warmUpState: isWarmUpState,
});

const isPermitRequest = shape({
  pool: isPool,
  requestId: isShortString,
  attemptId: isShortString,
  clientAccountId: isShortString,
  urgency: isShortString,
  latestStartInMs: isFiniteNumber,
  deadlineInMs: isFiniteNumber,
  likelyDurationMs: isFiniteNumber,
  prefixKey: optional(isShortString),
  excluded: arrayOf(isShortString),
});

const isPermitDecision = variant("kind", {
  granted: shape({ permit: isPermit }),
  refused: shape({
    reason: isShortString,
    detail: isString,
    retryAfterMs: isFiniteNumber,
  }),
});

const isPermitRelease = shape({
  permitId: isShortString,
  backendServerId: isShortString,
  outcome: oneOf(
    "completed",
    "notSent",
    "connectFailed",
    "refusedByServer",
    "failed",
    "timedOut",
    "canceled",
  ),
  durationMs: isFiniteNumber,
  firstTokenMs: optional(isFiniteNumber),
  tokens: optional(isFiniteNumber),
});

const isClaimKey = shape({
  clientAccountId: isShortString,
  idempotencyKey: isShortString,
});

const isAnswer = shape({
  status: isNonNegativeInteger,
  contentType: isShortString,
  body: isString,
});

const isClaimRecord = shape({
  key: isClaimKey,
  contentSha256: isShortString,
  attemptId: isShortString,
  holder: isShortString,
  state: oneOf("running", "answered", "unknown"),
  answer: optional(isAnswer),
});

/** The register, rules and deltas are fully validated when they are adopted. */
const isConfiguration = shape({
  generation: isNonNegativeInteger,
  register: shape({}),
  rules: shape({}),
});

const isGraphStage = shape({
  service: isShortString,
  after: arrayOf(isNonNegativeInteger),
  itemCount: isNonNegativeInteger,
  resultBytes: isNonNegativeNumber,
});

const isStageGraph = shape({
  attemptId: isShortString,
  inputKey: isShortString,
  stages: arrayOf(isGraphStage),
  dataCentre: isShortString,
  priority: isFiniteNumber,
  relativeSize: isFiniteNumber,
  objectiveInMs: isFiniteNumber,
  deadlineInMs: isFiniteNumber,
  finishMs: isFiniteNumber,
  account: optional(isShortString),
  kind: optional(isShortString),
  ageMs: optional(isNonNegativeNumber),
});

const isResultReference = shape({
  reference: isShortString,
  maker: isShortString,
  dataCentre: isShortString,
});

const isStatedRateLimit = shape({
  requestsPerSecond: optional(isNonNegativeNumber),
  ageMs: isNonNegativeNumber,
});

const isStreamOrigin = shape({
  service: isShortString,
  softwareVersion: isShortString,
});

const isBegunStreams = shape({
  origin: isStreamOrigin,
  attemptIds: arrayOf(isShortString),
});

const isPoisonPartNews = shape({
  crashes: arrayOf(shape({
    server: isShortString,
    startedAt: optional(isFiniteNumber),
    ageMs: isNonNegativeNumber,
    parts: arrayOf(isShortString),
  })),
  successes: arrayOf(
    shape({ part: isShortString, ageMs: isNonNegativeNumber }),
  ),
});

const isStoredObject = shape({
  key: isShortString,
  version: isNonNegativeInteger,
});

const isObjectEvent = variant("kind", {
  updated: shape({ object: isStoredObject }),
  deleted: shape({ key: isShortString, version: isNonNegativeInteger }),
});

const MESSAGE_SHAPES: Readonly<Record<PeerMessageType, ShapeCheck>> = {
  heartbeat: shape({
    sequence: isNonNegativeInteger,
    generation: isNonNegativeInteger,
    leaving: isBoolean,
    ownedPools: arrayOf(isPool),
    wantsReply: optional(isBoolean),
    intervalMs: optional(isNonNegativeNumber),
    newsVersions: optional(arrayOf(isNonNegativeInteger)),
    newsEras: optional(arrayOf(isNonNegativeInteger)),
    begunStreams: optional(arrayOf(isBegunStreams)),
    poisonParts: optional(isPoisonPartNews),
    relaysCalls: optional(isBoolean),
    cutOffServices: optional(arrayOf(isShortString)),
    takesObjectChanges: optional(isBoolean),
    knowsRollouts: optional(isBoolean),
    storeAgeMs: optional(isNonNegativeNumber),
  }),
  heartbeatReply: shape({
    sequence: isNonNegativeInteger,
    generation: isNonNegativeInteger,
    supportedPools: arrayOf(isPool),
  }),
  permitRequest: shape({ permitRequest: isPermitRequest }),
  permitDecision: shape({
    attemptId: isShortString,
    decision: isPermitDecision,
  }),
  permitCancel: shape({ pool: isPool, attemptId: isShortString }),
  permitRelease: shape({ pool: isPool, release: isPermitRelease }),
  outstandingRequest: shape({
    pool: isPool,
    requestNumber: isNonNegativeInteger,
  }),
  outstandingReply: shape({
    pool: isPool,
    requestNumber: isNonNegativeInteger,
    permits: arrayOf(shape({ permit: isPermit, remainingMs: isFiniteNumber })),
    observations: arrayOf(shape({
      backendServerId: isShortString,
      warmUpState: isWarmUpState,
      ageMs: isFiniteNumber,
    })),
  }),
  configurationRequest: shape({ knownGeneration: isNonNegativeInteger }),
  configuration: shape({ configuration: isConfiguration }),
  configurationDelta: shape({ deltas: arrayOf(shape({})) }),
  claimRequest: shape({
    requestNumber: isNonNegativeInteger,
    record: isClaimRecord,
  }),
  claimReply: shape({
    requestNumber: isNonNegativeInteger,
    reply: variant("kind", {
      committed: shape({}),
      existing: shape({ record: isClaimRecord }),
      unavailable: shape({}),
    }),
  }),
  claimOutcome: shape({
    requestNumber: isNonNegativeInteger,
    key: isClaimKey,
    attemptId: isShortString,
    outcome: variant("kind", {
      answered: shape({ answer: isAnswer }),
      notRun: shape({}),
      unknown: shape({}),
    }),
  }),
  claimOutcomeReply: shape({
    requestNumber: isNonNegativeInteger,
    recorded: isBoolean,
  }),
  stageGraphRun: shape({
    requestNumber: isNonNegativeInteger,
    group: isShortString,
    graph: isStageGraph,
  }),
  stageGraphEnded: shape({
    requestNumber: isNonNegativeInteger,
    outcome: variant("kind", {
      completed: shape({ results: arrayOf(isResultReference) }),
      moved: shape({}),
      refused: shape({ reason: isShortString, retryAfterMs: isFiniteNumber }),
    }),
  }),
  stageGraphRelease: shape({ requestNumber: isNonNegativeInteger }),
  stageCoordinating: shape({
    group: isShortString,
    activeForMs: isFiniteNumber,
    isWorkTimeStated: optional(isBoolean),
  }),
  objectsRequest: shape({
    known: arrayOf(
      shape({
        prefix: isShortString,
        era: optional(isNonNegativeInteger),
        revision: isNonNegativeInteger,
      }),
    ),
  }),
  objects: shape({
    copies: arrayOf(shape({
      prefix: isShortString,
      era: optional(isNonNegativeInteger),
      revision: isNonNegativeInteger,
      newsVersion: isNonNegativeInteger,
      objects: arrayOf(isStoredObject),
    })),
  }),
  objectChanges: shape({
    changes: shape({
      prefix: isShortString,
      era: optional(isNonNegativeInteger),
      after: isNonNegativeInteger,
      revision: isNonNegativeInteger,
      differenceFrom: optional(isNonNegativeInteger),
      events: arrayOf(isObjectEvent),
    }),
    recoveredAgeMs: optional(isNonNegativeNumber),
  }),
  rateLimitChange: shape({
    backendServerId: isShortString,
    stated: isStatedRateLimit,
    relay: isBoolean,
  }),
  rateRequest: shape({
    requestNumber: isNonNegativeInteger,
    backendServerId: isShortString,
    requestsPerSecond: isNonNegativeNumber,
    stated: optional(isStatedRateLimit),
  }),
  rateDecision: shape({
    requestNumber: isNonNegativeInteger,
    isGranted: isBoolean,
    retryAfterMs: isNonNegativeNumber,
    stated: optional(isStatedRateLimit),
  }),
  streamsBegun: shape({
    begunStreams: arrayOf(isBegunStreams),
    relay: optional(isBoolean),
  }),
  poisonParts: shape({ news: isPoisonPartNews, relay: isBoolean }),
  streamOriginRequest: shape({
    requestNumber: isNonNegativeInteger,
    attemptId: optional(isShortString),
    service: isShortString,
  }),
  streamOriginReply: shape({
    requestNumber: isNonNegativeInteger,
    origin: optional(isStreamOrigin),
    observation: shape({
      versions: arrayOf(isShortString),
      isComplete: isBoolean,
    }),
  }),
  serverCall: shape({
    callNumber: isNonNegativeInteger,
    call: isRelayedCall,
  }),
  serverCallBody: shape({ callNumber: isNonNegativeInteger, data: isBytes }),
  serverCallCancel: shape({ callNumber: isNonNegativeInteger }),
  serverCallCredit: shape({
    callNumber: isNonNegativeInteger,
    bytes: isNonNegativeInteger,
  }),
  serverCallEvent: shape({
    callNumber: isNonNegativeInteger,
    event: isRelayedCallEvent,
  }),
  serverReachRequest: shape({
    requestNumber: isNonNegativeInteger,
    backendServerId: isShortString,
  }),
  serverReachReply: shape({
    requestNumber: isNonNegativeInteger,
    isReached: isBoolean,
  }),
  rolloutReport: shape({ service: isShortString, report: isRolloutReport }),
  rolloutPermits: shape({ service: isShortString, permits: isRolloutPermits }),
  rolloutPhase: shape({
    service: isShortString,
    news: isRolloutPhaseNews,
    relay: isBoolean,
  }),
  leaving: shape({ vmId: isShortString }),
};

const isMessage = variant("type", MESSAGE_SHAPES);

const isChallenge = variant("type", {
  challenge: shape({ nonce: isShortString }),
});

const isHello = variant("type", {
  hello: shape({
    vmId: isShortString,
    incarnation: isShortString,
    dataCentre: isShortString,
    protocolVersion: isNonNegativeInteger,
    generation: isNonNegativeInteger,
    nonce: isShortString,
    proof: isShortString,
  }),
});

/**
 * Whether a decoded frame is a message that may follow the handshake.
 *
 * @example
 * ```ts
 * if (!isPeerMessage(value)) throw new PeerError("badFrame", "…");
 * ```
 */
export function isPeerMessage(value: unknown): value is PeerMessage {
  return isMessage(value);
}

export function isChallengeMessage(value: unknown): value is ChallengeMessage {
  return isChallenge(value);
}

export function isHelloMessage(value: unknown): value is HelloMessage {
  return isHello(value);
}
