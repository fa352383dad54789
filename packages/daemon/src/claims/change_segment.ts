/**
 * Computes the result of applying an operation to a segment with its key.
 *
 * @module
 */

import type { ClaimRecord } from "@sassafrasstage/protocol/claims";
import { type IsAbandoned, settleRecord } from "./apply_operations.js";
import { hashClaimKey } from "./claim_hash.js";
import {
  type Operation,
  type OperationResult,
  UNAVAILABLE,
} from "./claim_operation.js";
import type { ClaimSegment } from "./claim_objects.js";

export interface SegmentChange {
  readonly result: OperationResult;
  /** Absent if the segment is unchanged. */
  readonly records?: readonly ClaimRecord[];
}

/**
 * No key is ever added to a segment: an abandoned claim is only removed from
 * it, and the new claim is added to the head.
 *
 * @example
 * ```ts
 * const change = changeSegment(segment, operation, { isAbandoned });
 * ```
 */
export function changeSegment(
  segment: ClaimSegment,
  operation: Operation,
  context: { readonly isAbandoned: IsAbandoned },
): SegmentChange {
  const existing = segment.records.find((record) =>
    hashClaimKey(record.key) === operation.hash
  );
  if (existing === undefined) return { result: UNAVAILABLE };
  switch (operation.kind) {
    case "claim":
      if (context.isAbandoned(existing)) {
        return {
          result: { kind: "recorded" },
          records: replaceRecord(segment, existing, undefined),
        };
      }
      if (existing.attemptId === operation.record.attemptId) {
        return { result: { kind: "committed" } };
      }
      return { result: { kind: "existing", record: existing } };
    case "settle": {
      const result = { kind: "recorded" } as const;
      if (existing.attemptId !== operation.attemptId) return { result };
      const settled = settleRecord(existing, operation.outcome);
      return { result, records: replaceRecord(segment, existing, settled) };
    }
  }
}

function replaceRecord(
  segment: ClaimSegment,
  target: ClaimRecord,
  next: ClaimRecord | undefined,
): ClaimRecord[] {
  return segment.records.flatMap((record) => {
    if (record !== target) return [record];
    return next === undefined ? [] : [next];
  });
}
