/**
 * Refuses requests with prompt parts that crash servers.
 *
 * @module
 */

import { suspectableParts } from "../poison_parts/suspectable_parts.js";
import type { ForwardContext } from "./forward_context.js";
import type { LocalReply } from "./routed_request.js";

/**
 * Returns the reply for a request that must not be sent to a server now;
 * undefined if it may be sent.
 */
export function refusePoisonPart(
  { environment, request }: ForwardContext,
): LocalReply | undefined {
  const parts = suspectableParts(request.prompt);
  if (parts.length === 0) return undefined;
  const admission = environment.poisonParts.admit(request.attemptId, parts);
  switch (admission.kind) {
    case "admitted":
    case "probe":
      return undefined;
    case "refused":
      return {
        kind: "refused",
        reason: "poisonPart",
        retryAfterMs: admission.retryAfterMs,
        detail: `Prompt part ${admission.part} has crashed servers`,
      };
  }
}

/**
 * Whether a request under which a server has crashed may be sent to another
 * one.
 */
export function mayRetryAfterCrash(
  { environment, request }: ForwardContext,
): boolean {
  return environment.poisonParts.mayRetry(suspectableParts(request.prompt));
}
