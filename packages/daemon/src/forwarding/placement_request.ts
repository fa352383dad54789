/**
 * Builds the placement request for a streaming request of a client.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import type { PlacementRequest } from "../placement/server_directory.js";
import type { ForwardContext } from "./forward_context.js";

/**
 * @param inputsDataCentre Location of the request's inputs, if it has any
 * @param excluded Servers that were already tried
 */
export function placementRequestOf(
  context: ForwardContext,
  inputsDataCentre: DataCentreName | undefined,
  excluded: ReadonlySet<BackendServerId>,
): PlacementRequest {
  return {
    service: context.service,
    dataCentre: inputsDataCentre ?? context.environment.dataCentre,
    prefixKey: prefixKeyOf(context),
    excluded,
    includesRateLimited: true,
  };
}

/**
 * Id of the last prompt part that other requests may share: the one before the
 * final part, which belongs to the request or session itself.
 */
function prefixKeyOf(context: ForwardContext): string | undefined {
  const parts = context.request.prompt?.parts;
  if (parts === undefined || parts.length === 0) return undefined;
  return parts[Math.max(0, parts.length - 2)]?.id;
}
