/**
 * Makes batched stage calls; the adapter of the backend servers provides it.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";
import type { StageCallOutcome } from "./stage_call.js";

export type BatchItemInput =
  /** For a stage that needs no other stage's results. */
  | { readonly kind: "key"; readonly key: string }
  | { readonly kind: "results"; readonly references: readonly string[] };

export interface BatchItem {
  readonly attemptId: AttemptId;
  readonly stage: number;
  readonly index: number;
  readonly remainingMs: number;
  readonly input: BatchItemInput;
}

export interface BatchCall {
  readonly server: RegisteredServer;
  readonly items: readonly BatchItem[];
  readonly timeoutMs: number;
}

export interface BatchCaller {
  /** Never rejects: a failure is an outcome. */
  runItems(call: BatchCall): Promise<StageCallOutcome>;
  /** Gives results back; a lost call only leaves them to lapse. */
  freeResults(
    server: RegisteredServer,
    references: readonly string[],
  ): Promise<void>;
}
