/**
 * Converts an answer to the stored form that is replayed for its idempotency key.
 *
 * @module
 */

import type { RecordedAnswer } from "@sassafrasstage/protocol/claims";
import type { PipelineAnswer } from "./pipeline_request.js";

/**
 * @example
 * ```ts
 * const recorded = toRecordedAnswer(answer);
 * ```
 */
export function toRecordedAnswer(answer: PipelineAnswer): RecordedAnswer {
  return {
    status: 200,
    contentType: "application/json",
    body: JSON.stringify(answer),
  };
}
