/**
 * What a stream's request asks of the server that will run it.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import type { PlacementNeed } from "../placement/server_directory.js";
import type { ForwardContext } from "./forward_context.js";

/**
 * @param inputsDataCentre Where the request's inputs lie, if it has any
 * @param excluded Servers that were tried before
 */
export function placementNeedOf(
  context: ForwardContext,
  inputsDataCentre: DataCentreName | undefined,
  excluded: ReadonlySet<BackendServerId>,
): PlacementNeed {
  return {
    service: context.service,
    dataCentre: inputsDataCentre ?? context.environment.dataCentre,
    prefixKey: prefixKeyOf(context),
    excluded,
  };
}

/** The longest part of the prompt that other requests may share. */
function prefixKeyOf(context: ForwardContext): string | undefined {
  const parts = context.request.prompt?.parts;
  if (parts === undefined || parts.length === 0) return undefined;
  return parts[Math.max(0, parts.length - 2)]?.id;
}
