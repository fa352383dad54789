/**
 * What of a request may be found to crash servers.
 *
 * @module
 */

import type { SuspectId } from "@sassafrasstage/protocol/ids";
import { toRequestSuspect } from "../poison_parts/request_suspect.js";
import { suspectableParts } from "../poison_parts/suspectable_parts.js";
import type { ForwardContext } from "./forward_context.js";
import { requestDigest } from "./request_digest.js";

export function suspectsOf(
  context: Pick<ForwardContext, "request" | "account">,
): readonly SuspectId[] {
  return [
    ...suspectableParts(context.request.prompt),
    toRequestSuspect(requestDigest(context)),
  ];
}
