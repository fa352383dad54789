/**
 * One request for one pipeline, and how it ends.
 *
 * @module
 */

import type { RecordedAnswer } from "@sassafrasstage/protocol/claims";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type {
  BackendServerId,
  ClientAccountId,
  DataCentreName,
  PipelineName,
  RequestId,
  ServiceName,
  StageName,
} from "@sassafrasstage/protocol/ids";
import type { ProblemReason } from "@sassafrasstage/protocol/problems";
import type { Pipeline } from "@sassafrasstage/protocol/rules";

/** What the caller sees of a stream before the whole answer. */
export interface AnswerListener {
  onToken(text: string): void;
  /** What was streamed so far is void: the stage is run again. */
  onRestart(): void;
}

export interface PipelineRequest {
  readonly requestId: RequestId;
  readonly clientAccountId: ClientAccountId;
  readonly pipeline: Pipeline;
  /** The configuration that the request is planned and run with. */
  readonly configuration: Configuration;
  readonly input: unknown;
  /** SHA-256 of pipeline and body. */
  readonly contentSha256: string;
  readonly idempotencyKey?: string;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Aborts when the caller goes away. */
  readonly callerSignal: AbortSignal;
  readonly listener?: AnswerListener;
}

/** What one stage took, as told to the caller. */
export interface StageReport {
  readonly stage: StageName;
  readonly service: ServiceName;
  readonly backendServerId: BackendServerId;
  readonly dataCentre: DataCentreName;
  readonly attempts: number;
  /** From the wish to run the stage to its result. */
  readonly durationMs: number;
  /** The part of it that the backend server's call took. */
  readonly callMs: number;
  readonly tokens?: number;
}

/** The whole answer to a request. */
export interface PipelineAnswer {
  readonly requestId: RequestId;
  readonly pipeline: PipelineName;
  readonly output: unknown;
  readonly stages: readonly StageReport[];
  readonly totalMs: number;
}

export interface Refusal {
  readonly kind: "refused";
  readonly reason: ProblemReason;
  readonly detail: string;
  /** True only if no non-idempotent call can have left this process. */
  readonly notRun: boolean;
  readonly retryAfterMs?: number;
}

export type PipelineResult =
  | { readonly kind: "answered"; readonly answer: PipelineAnswer }
  /** The recorded answer to an earlier request with the same key. */
  | { readonly kind: "repeated"; readonly answer: RecordedAnswer }
  | Refusal;

/**
 * Whether a repeat of the request could do harm.
 *
 * @example
 * ```ts
 * if (isNonIdempotent(pipeline)) await claims.claim(…);
 * ```
 */
export function isNonIdempotent(pipeline: Pipeline): boolean {
  return pipeline.stages.some((stage) => !stage.idempotent);
}
