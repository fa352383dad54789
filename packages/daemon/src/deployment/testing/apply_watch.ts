/**
 * Applies responses to watches that began where their mirror stands now.
 *
 * @module
 */

import type { WatchResponse } from "@sassafrasstage/protocol/platform_objects";
import type { ObjectMirror } from "../object_mirror.js";

/**
 * Returns how many updates were ignored. Throws if the mirror has had no
 * listing.
 *
 * @example
 * ```ts
 * applyWatch(mirror, { revision: 9, events: [] });
 * ```
 */
export function applyWatch(
  mirror: ObjectMirror,
  response: WatchResponse,
): number {
  const start = mirror.watchPosition;
  if (start === undefined) throw new Error("Expected a listing before a watch");
  return mirror.applyWatchResponse(start, response);
}
