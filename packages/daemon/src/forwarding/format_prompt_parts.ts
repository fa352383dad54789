/**
 * Formats the parts of a prompt for log lines.
 *
 * @module
 */

import type { PromptShape } from "./routed_request.js";

const MAX_LOGGED_PARTS = 16;
const MAX_LOGGED_ID_LENGTH = 32;

/**
 * Returns the ids of the parts that other requests may share, separated by
 * commas; undefined if there are none.
 *
 * @example
 * ```ts
 * logger.info("serverCallFailed", { parts: formatPromptParts(prompt) });
 * ```
 */
export function formatPromptParts(
  prompt: PromptShape | undefined,
): string | undefined {
  const shared = prompt?.parts.slice(0, -1) ?? [];
  if (shared.length === 0) return undefined;
  const ids = shared.slice(0, MAX_LOGGED_PARTS)
    .map(({ id }) => id.slice(0, MAX_LOGGED_ID_LENGTH));
  const omitted = shared.length > MAX_LOGGED_PARTS ? ",…" : "";
  return ids.join(",") + omitted;
}
