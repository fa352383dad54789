/**
 * How far the responses to watch calls show all changes.
 *
 * @module
 */

import type { WatchResponse } from "@sassafrasstage/protocol/platform_objects";

/** Where a watch call begins. */
export interface WatchPosition {
  /** All changes up to this revision are known. */
  readonly after: number;
  /** The store is known to have reached this revision. */
  readonly reached: number;
}

/**
 * The revision up to which all changes are known once the response to a call
 * from the position has been applied.
 *
 * A store answers at once if anything has changed before the call, but may fail
 * to tell a waiting call what changes then. So a response without events covers
 * what the store had reached when the call began, not what it has reached since.
 *
 * @example
 * ```ts
 * const start = { after: 4, reached: 6 };
 * provenRevision(start, { revision: 9, events: [] }); // 6
 * ```
 */
export function provenRevision(
  start: WatchPosition,
  response: WatchResponse,
): number {
  return response.events.length > 0
    ? response.revision
    : Math.max(start.after, start.reached);
}
