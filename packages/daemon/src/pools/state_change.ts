/**
 * Changes of a backend server's state at its pool's owner, as reported to the
 * log.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { LogFields } from "../observability/log_fields.js";
import type { CallReport, ServerState } from "./backend_server_state.js";
import type { PooledServer } from "./pooled_server.js";

/** What changed the owner's knowledge of a server. */
export type StateChangeCause =
  | { readonly kind: "callEnded"; readonly report: CallReport }
  | { readonly kind: "idle" }
  | { readonly kind: "backInService" }
  | { readonly kind: "observedWarm"; readonly ageMs: number }
  | { readonly kind: "observedCold"; readonly ageMs: number };

export interface StateChange {
  readonly server: BackendServerId;
  readonly from: string;
  readonly to: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly cause: StateChangeCause;
  readonly nowMs: number;
}

/**
 * The change from the given earlier state; undefined if the kind of state is the
 * same.
 *
 * @example
 * ```ts
 * const change = describeStateChange(server, { before, cause, nowMs });
 * ```
 */
export function describeStateChange(
  server: PooledServer,
  update: {
    readonly before: ServerState;
    readonly cause: StateChangeCause;
    readonly nowMs: number;
  },
): StateChange | undefined {
  const from = nameOfState(update.before);
  const to = nameOfState(server.health.state);
  if (from === to) return undefined;
  const { id, inFlight, limit } = server;
  const { cause, nowMs } = update;
  return { server: id, from, to, inFlight, limit, cause, nowMs };
}

/**
 * The fields of the change's log line. `ageMs` is the age of what caused it: of
 * an observation, or of the grant of the call that has ended.
 *
 * @example
 * ```ts
 * logger.info("backendServerStateChanged", toLogFields(change));
 * ```
 */
export function toLogFields(change: StateChange): LogFields {
  const { server, from, to, inFlight, limit, cause } = change;
  const fields = { server, from, to, inFlight, limit, cause: cause.kind };
  switch (cause.kind) {
    case "callEnded":
      return {
        ...fields,
        outcome: cause.report.outcome,
        grade: cause.report.grade,
        ageMs: Math.round(change.nowMs - cause.report.grantedAtMs),
      };
    case "observedWarm":
    case "observedCold":
      return { ...fields, ageMs: Math.round(cause.ageMs) };
    case "idle":
    case "backInService":
      return fields;
  }
}

function nameOfState(state: ServerState): string {
  if (state.kind !== "cold") return state.kind;
  return state.usualCompletionsLeft === undefined ? "cold" : "suspectedCold";
}
