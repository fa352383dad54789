/**
 * Classes the overloads of cold servers by the promise: a cold server gets only
 * what it can bear, and if it turned cold without warning, what was granted
 * before any sign of that could be known.
 *
 * @module
 */

import { REACTION_TIME_MS } from "@sassafrasstage/stand-ins/backend_servers/cold_start";
import type { ServerEvent } from "@sassafrasstage/stand-ins/backend_servers/server_event_log";

export type OverloadClass =
  /** No caller had been sent any sign, or none early enough to react. */
  | "allowed"
  /** Calls had only ended or begun to answer more slowly than usual. */
  | "slowAnswersOnly"
  /** A caller had been refused, or the cold start had been announced. */
  | "fault";

/**
 * @param events what the server did before the overload, in order of time
 *
 * @example
 * ```ts
 * classifyOverload(overload.events, overload.atMs); // "fault"
 * ```
 */
export function classifyOverload(
  events: readonly ServerEvent[],
  atMs: number,
): OverloadClass {
  const earlier = events.filter((event) => event.atMs < atMs);
  const turned = earlier.findLastIndex(({ kind }) => kind === "turnedCold");
  if (turned < 0) return "fault";
  const since = earlier.slice(turned + 1);
  if (since.some(({ kind }) => kind === "overloaded")) return "fault";
  const knowable = since.filter((event) =>
    event.atMs <= atMs - REACTION_TIME_MS
  );
  if (knowable.some(isCertainSign)) return "fault";
  return knowable.some(isSlowAnswer) ? "slowAnswersOnly" : "allowed";
}

function isCertainSign({ kind }: ServerEvent): boolean {
  return kind === "refused" || kind === "failed";
}

function isSlowAnswer({ kind }: ServerEvent): boolean {
  return kind === "completed" || kind === "firstToken";
}
