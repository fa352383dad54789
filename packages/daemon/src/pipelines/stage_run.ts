/**
 * Types for running one stage of a request.
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

/** A permit and the server that it was granted for. */
export interface GrantedServer {
  readonly permit: Permit;
  readonly server: BackendServer;
}

/** A call that has ended, or whose request was aborted. */
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
