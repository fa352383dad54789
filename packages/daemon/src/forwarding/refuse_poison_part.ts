/**
 * Refuses requests that crash servers, or have prompt parts that do.
 *
 * @module
 */

import { isRequestSuspect } from "../poison_parts/request_suspect.js";
import type { ForwardContext } from "./forward_context.js";
import type { LocalReply } from "./routed_request.js";
import { suspectsOf } from "./suspects_of.js";

/**
 * Returns the reply for a request that must not be sent to a server now;
 * undefined if it may be sent.
 */
export function refusePoisonPart(
  context: ForwardContext,
): LocalReply | undefined {
  const { environment, request } = context;
  const admission = environment.poisonParts
    .admit(request.attemptId, suspectsOf(context));
  switch (admission.kind) {
    case "admitted":
    case "probe":
      return undefined;
    case "refused":
      return {
        kind: "refused",
        reason: "poisonPart",
        retryAfterMs: admission.retryAfterMs,
        detail: isRequestSuspect(admission.part)
          ? "Requests with this content have crashed servers"
          : `Prompt part ${admission.part} has crashed servers`,
      };
  }
}

/**
 * Whether a request under which a server has crashed may be sent to another
 * one.
 */
export function mayRetryAfterCrash(context: ForwardContext): boolean {
  return context.environment.poisonParts.mayRetry(suspectsOf(context));
}

/** Whether a request may be sent to two servers at the same time. */
export function mayHedge(context: ForwardContext): boolean {
  return !context.environment.poisonParts.isAccused(suspectsOf(context));
}
