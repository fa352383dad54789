/**
 * Interface for batched stage calls, implemented by the backend server adapter.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { RateLimitStatement } from "../rate_limits/rate_limit_statement.js";
import type { ServerNotice } from "../register/server_notice.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { LoadStatement } from "../server_load/server_load.js";
import type { StageCallOutcome } from "./stage_call.js";

export type BatchItemInput =
  /** For a stage that depends on no other stage. */
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
  /**
   * Whether the server may still get the call; checked right before it is
   * written, as it may have waited for a connection.
   */
  readonly maySend: () => boolean;
}

export interface BatchCallResult {
  readonly outcome: StageCallOutcome;
  /** What the response states; "unknown" without a response. */
  readonly rateLimit: RateLimitStatement;
  readonly notice: ServerNotice;
  readonly load?: LoadStatement | undefined;
}

export interface BatchCaller {
  /** Never rejects; failures are reported as an outcome. */
  runItems(call: BatchCall): Promise<BatchCallResult>;
  /**
   * Frees results at the server; if the call is lost, they expire there. Never
   * rejects; resolves with what the response says about the server.
   */
  freeResults(
    server: RegisteredServer,
    references: readonly string[],
  ): Promise<ServerNotice>;
}
