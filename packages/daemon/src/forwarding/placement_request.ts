/**
 * Builds the placement request for a streaming request of a client.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { PlacementRequest } from "../placement/server_directory.js";
import type { ForwardContext } from "./forward_context.js";

export interface PlacementConstraints {
  /** Location of the request's inputs, if it has any. */
  readonly inputsDataCentre: DataCentreName | undefined;
  /** Servers that were already tried. */
  readonly excluded: ReadonlySet<BackendServerId>;
  /** Set for a stream that goes on; other versions can't continue it. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

export function placementRequestOf(
  context: ForwardContext,
  constraints: PlacementConstraints,
): PlacementRequest {
  const { inputsDataCentre, excluded, softwareVersion } = constraints;
  return {
    service: context.service,
    dataCentre: inputsDataCentre ?? context.environment.dataCentre,
    prefixKey: prefixKeyOf(context),
    excluded,
    includesRateLimited: true,
    softwareVersion,
    route: context.route.name,
    prompt: context.request.prompt,
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
