/**
 * Sample peer messages with ids of typical length.
 *
 * @module
 */

import { toId } from "@sassafrasstage/protocol/ids";
import type {
  HeartbeatMessage,
  PermitDecisionMessage,
  PermitReleaseMessage,
  PermitRequestMessage,
} from "@sassafrasstage/protocol/peer_messages";

const POOL = {
  service: toId<PermitRequestMessage["permitRequest"]["pool"]["service"]>(
    "language-model",
  ),
  dataCentre: toId<PermitRequestMessage["permitRequest"]["pool"]["dataCentre"]>(
    "palermo",
  ),
};

/** Makes an id with the length of a UUID, unique to the serial number. */
function makeUuid(serial: number): string {
  return `0f6f2a61-3f0c-4f7e-9a1d-${String(serial).padStart(12, "0")}`;
}

/**
 * @example
 * ```ts
 * network.send(owner, makePermitRequest(1));
 * ```
 */
export function makePermitRequest(serial: number): PermitRequestMessage {
  return {
    type: "permitRequest",
    permitRequest: {
      pool: POOL,
      requestId: toId(makeUuid(serial)),
      attemptId: toId(makeUuid(serial)),
      clientAccountId: toId("boutiques-palermo"),
      urgency: "deferrable",
      latestStartInMs: 1234.567,
      deadlineInMs: 4321.765,
      likelyDurationMs: 345.6,
      prefixKey: "boutiques-palermo/dossier",
      excluded: [],
    },
  };
}

/**
 * @example
 * ```ts
 * network.send(requester, makePermitDecision(1));
 * ```
 */
export function makePermitDecision(serial: number): PermitDecisionMessage {
  return {
    type: "permitDecision",
    attemptId: toId(makeUuid(serial)),
    decision: {
      kind: "granted",
      permit: {
        permitId: toId(makeUuid(serial)),
        attemptId: toId(makeUuid(serial)),
        pool: POOL,
        backendServerId: toId("language-model-4"),
        warmUpState: "warm",
      },
    },
  };
}

/**
 * @example
 * ```ts
 * network.send(owner, makePermitRelease(1));
 * ```
 */
export function makePermitRelease(serial: number): PermitReleaseMessage {
  return {
    type: "permitRelease",
    pool: POOL,
    release: {
      permitId: toId(makeUuid(serial)),
      backendServerId: toId("language-model-4"),
      outcome: "completed",
      durationMs: 345.678,
      firstTokenMs: 61.234,
      tokens: 64,
    },
  };
}

/**
 * @example
 * ```ts
 * makeHeartbeat(4).ownedPools.length; // 4
 * ```
 */
export function makeHeartbeat(ownedPools: number): HeartbeatMessage {
  return {
    type: "heartbeat",
    sequence: 123_456,
    generation: 18_000,
    leaving: false,
    ownedPools: Array.from({ length: ownedPools }, () => POOL),
  };
}
