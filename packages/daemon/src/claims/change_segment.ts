/**
 * Decides what an operation makes of a segment that has its key.
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
  /** Absent when the segment stays as it is. */
  readonly records?: readonly ClaimRecord[];
}

/**
 * A segment never gains a key: a claim that may be replaced is only taken out,
 * and the new one is made in the head.
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
          records: withReplaced(segment, existing, undefined),
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
      return { result, records: withReplaced(segment, existing, settled) };
    }
  }
}

function withReplaced(
  segment: ClaimSegment,
  former: ClaimRecord,
  next: ClaimRecord | undefined,
): ClaimRecord[] {
  return segment.records.flatMap((record) => {
    if (record !== former) return [record];
    return next === undefined ? [] : [next];
  });
}
