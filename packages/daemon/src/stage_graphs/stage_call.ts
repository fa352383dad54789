/**
 * Batched calls of stage services, and what came of them.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import type { BatchEntry } from "./form_batch.js";

/** A call that has to be made now. */
export interface StageCall {
  readonly id: number;
  readonly service: ServiceName;
  readonly server: RegisteredServer;
  readonly entries: readonly BatchEntry[];
  readonly startedAtMs: number;
}

export type ItemOutcome =
  | { readonly kind: "made"; readonly reference: string }
  | { readonly kind: "failed"; readonly reason: ItemFailure };

export type ItemFailure = "outOfTime" | "inputGone" | "noRoom" | "error";

export type NotRunReason =
  | "full"
  | "notConnected"
  /** Another server has the address by now. */
  | "otherServer";

export type StageCallOutcome =
  | { readonly kind: "answered"; readonly items: readonly ItemOutcome[] }
  /** The server took nothing of it. */
  | { readonly kind: "notRun"; readonly reason: NotRunReason }
  /** What became of it is not known. */
  | { readonly kind: "unknown"; readonly detail: string };
