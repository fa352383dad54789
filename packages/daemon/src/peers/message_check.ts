/**
 * Checks that a decoded frame is one of the messages between daemons.
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
  isFiniteNumber,
  isFlag,
  isName,
  isText,
  isWholeNumber,
  listOf,
  oneOf,
  optional,
  shape,
  type ShapeCheck,
  variant,
} from "./message_shape.js";

const isPool = shape({ service: isName, dataCentre: isName });

const isWarmUpState = oneOf("cold", "warm");

const isPermit = shape({
  permitId: isName,
  attemptId: isName,
  pool: isPool,
  backendServerId: isName,
  warmUpState: isWarmUpState,
});

const isPermitRequest = shape({
  pool: isPool,
  requestId: isName,
  attemptId: isName,
  clientAccountId: isName,
  urgency: isName,
  latestStartInMs: isFiniteNumber,
  deadlineInMs: isFiniteNumber,
  likelyDurationMs: isFiniteNumber,
  prefixKey: optional(isName),
  excluded: listOf(isName),
});

const isPermitDecision = variant("kind", {
  granted: shape({ permit: isPermit }),
  refused: shape({
    reason: isName,
    detail: isText,
    retryAfterMs: isFiniteNumber,
  }),
});

const isPermitRelease = shape({
  permitId: isName,
  backendServerId: isName,
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

const isClaimKey = shape({ clientAccountId: isName, idempotencyKey: isName });

const isAnswer = shape({
  status: isWholeNumber,
  contentType: isName,
  body: isText,
});

const isClaimRecord = shape({
  key: isClaimKey,
  contentSha256: isName,
  attemptId: isName,
  holder: isName,
  state: oneOf("running", "answered", "unknown"),
  answer: optional(isAnswer),
});

/** Register, rules and deltas are checked whole by whoever adopts them. */
const isConfiguration = shape({
  generation: isWholeNumber,
  register: shape({}),
  rules: shape({}),
});

const isGraphStage = shape({
  service: isName,
  after: listOf(isWholeNumber),
  itemCount: isWholeNumber,
  resultBytes: isFiniteNumber,
});

const isStageGraph = shape({
  attemptId: isName,
  inputKey: isName,
  stages: listOf(isGraphStage),
  dataCentre: isName,
  priority: isFiniteNumber,
  relativeSize: isFiniteNumber,
  objectiveInMs: isFiniteNumber,
  deadlineInMs: isFiniteNumber,
  finishMs: isFiniteNumber,
});

const isResultReference = shape({
  reference: isName,
  maker: isName,
  dataCentre: isName,
});

const MESSAGE_SHAPES: Readonly<Record<PeerMessageType, ShapeCheck>> = {
  heartbeat: shape({
    sequence: isWholeNumber,
    generation: isWholeNumber,
    leaving: isFlag,
    ownedPools: listOf(isPool),
    wantsReply: optional(isFlag),
    newsVersions: optional(listOf(isWholeNumber)),
  }),
  heartbeatReply: shape({
    sequence: isWholeNumber,
    generation: isWholeNumber,
    supportedPools: listOf(isPool),
  }),
  permitRequest: shape({ permitRequest: isPermitRequest }),
  permitDecision: shape({ attemptId: isName, decision: isPermitDecision }),
  permitCancel: shape({ pool: isPool, attemptId: isName }),
  permitRelease: shape({ pool: isPool, release: isPermitRelease }),
  outstandingRequest: shape({ pool: isPool, requestNumber: isWholeNumber }),
  outstandingReply: shape({
    pool: isPool,
    requestNumber: isWholeNumber,
    permits: listOf(shape({ permit: isPermit, remainingMs: isFiniteNumber })),
    observations: listOf(shape({
      backendServerId: isName,
      warmUpState: isWarmUpState,
      ageMs: isFiniteNumber,
    })),
  }),
  configurationRequest: shape({ knownGeneration: isWholeNumber }),
  configuration: shape({ configuration: isConfiguration }),
  configurationDelta: shape({ deltas: listOf(shape({})) }),
  claimRequest: shape({ requestNumber: isWholeNumber, record: isClaimRecord }),
  claimReply: shape({
    requestNumber: isWholeNumber,
    reply: variant("kind", {
      committed: shape({}),
      existing: shape({ record: isClaimRecord }),
      unavailable: shape({}),
    }),
  }),
  claimOutcome: shape({
    requestNumber: isWholeNumber,
    key: isClaimKey,
    attemptId: isName,
    outcome: variant("kind", {
      answered: shape({ answer: isAnswer }),
      notRun: shape({}),
      unknown: shape({}),
    }),
  }),
  claimOutcomeReply: shape({ requestNumber: isWholeNumber, recorded: isFlag }),
  stageGraphRun: shape({
    requestNumber: isWholeNumber,
    group: isName,
    graph: isStageGraph,
  }),
  stageGraphEnded: shape({
    requestNumber: isWholeNumber,
    outcome: variant("kind", {
      completed: shape({ results: listOf(isResultReference) }),
      moved: shape({}),
      refused: shape({ reason: isName, retryAfterMs: isFiniteNumber }),
    }),
  }),
  stageGraphRelease: shape({ requestNumber: isWholeNumber }),
  stageCoordinating: shape({ group: isName, activeForMs: isFiniteNumber }),
  objectsRequest: shape({
    known: listOf(shape({ prefix: isName, revision: isWholeNumber })),
  }),
  objects: shape({
    copies: listOf(shape({
      prefix: isName,
      revision: isWholeNumber,
      newsVersion: isWholeNumber,
      objects: listOf(shape({ key: isName, version: isWholeNumber })),
    })),
  }),
  leaving: shape({ vmId: isName }),
};

const isMessage = variant("type", MESSAGE_SHAPES);

const isChallenge = variant("type", { challenge: shape({ nonce: isName }) });

const isHello = variant("type", {
  hello: shape({
    vmId: isName,
    incarnation: isName,
    dataCentre: isName,
    protocolVersion: isWholeNumber,
    generation: isWholeNumber,
    nonce: isName,
    proof: isName,
  }),
});

/**
 * Whether a decoded frame is a message that may follow the hello.
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
