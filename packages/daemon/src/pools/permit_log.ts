/**
 * Debug log lines that tell how each permit was granted, received and released,
 * and what an owner was told about outstanding permits.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { OutstandingReplyMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  PermitDecision,
  PermitRelease,
} from "@sassafrasstage/protocol/permits";
import type { Logger } from "../observability/logger.js";
import type { HeldPermit } from "./held_permits.js";

/** Logs a permit that this daemon grants as its pool's owner. */
export function logDecision(
  logger: Logger,
  to: VmId,
  decision: PermitDecision,
): void {
  if (decision.kind !== "granted") return;
  const { permitId, backendServerId, warmUpState } = decision.permit;
  logger.debug("permitGranted", {
    server: backendServerId,
    permit: permitId,
    to,
    warmUpState,
  });
}

/** Logs what another daemon reports to this one as its pool's owner. */
export function logOutstandingReply(
  logger: Logger,
  from: VmId,
  reply: OutstandingReplyMessage,
): void {
  const { requestNumber } = reply;
  for (const { permit, remainingMs } of reply.permits) {
    logger.debug("outstandingPermitReported", {
      server: permit.backendServerId,
      permit: permit.permitId,
      from,
      requestNumber,
      remainingMs: Math.round(remainingMs),
    });
  }
  for (const observation of reply.observations) {
    logger.debug("warmUpStateReported", {
      server: observation.backendServerId,
      warmUpState: observation.warmUpState,
      from,
      requestNumber,
      ageMs: Math.round(observation.ageMs),
    });
  }
}

/** Logs a permit that this daemon has received or granted itself. */
export function logReceivedPermit(logger: Logger, held: HeldPermit): void {
  const { granter, permit } = held;
  logger.debug("permitReceived", {
    server: permit.backendServerId,
    permit: permit.permitId,
    attempt: permit.attemptId,
    granter: granter.kind === "owner" ? granter.vmId : granter.kind,
    warmUpState: permit.warmUpState,
  });
}

/** Logs the end of a permit that this daemon holds. */
export function logReleasedPermit(
  logger: Logger,
  release: PermitRelease,
): void {
  logger.debug("permitReleased", {
    server: release.backendServerId,
    permit: release.permitId,
    outcome: release.outcome,
    durationMs: Math.round(release.durationMs),
    ...(release.firstTokenMs === undefined
      ? {}
      : { firstTokenMs: Math.round(release.firstTokenMs) }),
  });
}
