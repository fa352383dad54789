/**
 * Batched calls of stage services and their outcomes.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import type { ExposurePermit } from "../rollouts/rollout_gate.js";
import type { BatchEntry } from "./plan_batches.js";

/** A call that the scheduler has planned and recorded as started. */
export interface StageCall {
  readonly id: number;
  readonly service: ServiceName;
  readonly server: RegisteredServer;
  readonly entries: readonly BatchEntry[];
  readonly startedAtMs: number;
  /** Used for a call to the candidate of a rollout. */
  readonly permit?: ExposurePermit | undefined;
}

export type ItemOutcome =
  | { readonly kind: "made"; readonly reference: string }
  | { readonly kind: "failed"; readonly reason: ItemFailure };

export type ItemFailure = "outOfTime" | "inputGone" | "noRoom" | "error";

export type NotRunReason =
  | "full"
  | "notConnected"
  /** The server may not get the call any more. */
  | "notAllowed"
  /** The address now belongs to another server. */
  | "otherServer";

export type StageCallOutcome =
  | { readonly kind: "answered"; readonly items: readonly ItemOutcome[] }
  /** The server did not run any item. */
  | { readonly kind: "notRun"; readonly reason: NotRunReason }
  /** It is not known whether the server ran the items. */
  | { readonly kind: "unknown"; readonly detail: string };
