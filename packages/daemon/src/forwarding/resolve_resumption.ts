/**
 * Determines where a stream may go on that a client takes up.
 *
 * @module
 */

import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";
import type { ForwardContext } from "./forward_context.js";
import type { LocalReply } from "./routed_request.js";

export type Resumption =
  /** The request begins a new stream. */
  | { readonly kind: "none" }
  | { readonly kind: "found"; readonly origin: StreamOrigin }
  | { readonly kind: "refused"; readonly reply: LocalReply };

/** By then the VMs have told each other of the streams that began. */
const UNKNOWN_STREAM_RETRY_AFTER_MS = 300;

export async function resolveResumption(
  context: ForwardContext,
): Promise<Resumption> {
  const { request, route, service, environment } = context;
  if (request.resumeAfter === undefined) return { kind: "none" };
  const origin = await environment.streamVersions.find({
    request: request.attemptId,
    resumedAttemptId: request.resumedAttemptId,
    service,
  });
  if (origin === undefined) {
    return {
      kind: "refused",
      reply: {
        kind: "refused",
        reason: "unknownStream",
        retryAfterMs: UNKNOWN_STREAM_RETRY_AFTER_MS,
        detail: "The software version that began the stream isn't known",
      },
    };
  }
  const isRouted = route.targets.some((target) =>
    target.service === origin.service && target.weight > 0
  );
  if (isRouted) return { kind: "found", origin };
  return {
    kind: "refused",
    reply: {
      kind: "refused",
      reason: "noServer",
      retryAfterMs: undefined,
      detail: "The route no longer leads to the service that began the stream",
    },
  };
}
