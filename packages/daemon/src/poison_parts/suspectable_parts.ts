/**
 * The parts of a prompt that may be found to crash servers.
 *
 * @module
 */

import { type SuspectId, toId } from "@sassafrasstage/protocol/ids";
import type { PromptShape } from "../forwarding/routed_request.js";

/** Bound what is remembered of one request. */
const MAX_PARTS = 64;
const MAX_ID_LENGTH = 64;

/**
 * Returns the parts that requests can have in common: all but the last. Long
 * prompts are judged by their first parts; parts with very long ids aren't
 * judged.
 *
 * @example
 * ```ts
 * const parts = suspectableParts(request.prompt);
 * ```
 */
export function suspectableParts(
  prompt: PromptShape | undefined,
): readonly SuspectId[] {
  if (prompt === undefined || prompt.parts.length < 2) return [];
  const ids = prompt.parts.slice(0, -1)
    .filter(({ id }) => id.length <= MAX_ID_LENGTH)
    .slice(0, MAX_PARTS)
    .map(({ id }) => toId<SuspectId>(id));
  return [...new Set(ids)];
}
