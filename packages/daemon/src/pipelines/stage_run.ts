/**
 * One stage of one request while it runs.
 *
 * @module
 */

import type {
  CallResult,
  CompletedCall,
} from "../backend_servers/stage_call.js";
import type { BackendServer, Service } from "@sassafrasstage/protocol/register";
import type { Permit } from "@sassafrasstage/protocol/permits";
import type { Stage } from "@sassafrasstage/protocol/rules";
import type { PipelineRequest, Refusal } from "./pipeline_request.js";
import type { RequestLifetime } from "./request_lifetime.js";

export interface StageRun {
  readonly request: PipelineRequest;
  readonly lifetime: RequestLifetime;
  readonly stage: Stage;
  readonly service: Service;
  readonly input: unknown;
}

/** The permit and the server it is for. */
export interface GrantedServer {
  readonly permit: Permit;
  readonly server: BackendServer;
}

/** One call that came to its end, or that nobody waits for any longer. */
export interface FinishedCall {
  readonly result: CallResult;
  readonly callMs: number;
}

export type StageResult =
  | {
    readonly kind: "completed";
    readonly call: CompletedCall;
    readonly granted: GrantedServer;
    readonly attempts: number;
    readonly callMs: number;
  }
  | Refusal;
