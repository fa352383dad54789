/**
 * Types of a pipeline request and its result.
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

/** Receives streamed output before the complete answer. */
export interface AnswerListener {
  onToken(text: string): void;
  /** Discards the text streamed so far, as the stage is run again. */
  onRestart(): void;
}

export interface PipelineRequest {
  readonly requestId: RequestId;
  readonly clientAccountId: ClientAccountId;
  readonly pipeline: Pipeline;
  /** The configuration used for the whole request. */
  readonly configuration: Configuration;
  readonly input: unknown;
  /** SHA-256 of the pipeline name and the input. */
  readonly contentSha256: string;
  readonly idempotencyKey?: string;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Aborts when the caller disconnects. */
  readonly callerSignal: AbortSignal;
  readonly listener?: AnswerListener;
}

/** Timings and placement of one stage, as reported to the caller. */
export interface StageReport {
  readonly stage: StageName;
  readonly service: ServiceName;
  readonly backendServerId: BackendServerId;
  readonly dataCentre: DataCentreName;
  readonly attempts: number;
  /** From the start of the stage, including waiting for permits, to its result. */
  readonly durationMs: number;
  /** Duration of the backend server call alone. */
  readonly callMs: number;
  readonly tokens?: number;
}

/** The complete answer to a request. */
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
 * Whether the pipeline has a stage that must not run more than once.
 *
 * @example
 * ```ts
 * if (isNonIdempotent(pipeline)) await claims.claim(…);
 * ```
 */
export function isNonIdempotent(pipeline: Pipeline): boolean {
  return pipeline.stages.some((stage) => !stage.idempotent);
}
