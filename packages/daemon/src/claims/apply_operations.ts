/**
 * Computes the result of applying a batch of operations to the head of a
 * partition. The head is updated only if it is still at the version that was
 * read, so the results hold if and only if the platform accepts the update.
 *
 * @module
 */

import type {
  ClaimOutcome,
  ClaimRecord,
} from "@sassafrasstage/protocol/claims";
import type { ClaimHash } from "./claim_hash.js";
import type {
  ClaimOperation,
  Operation,
  OperationResult,
  SettleOperation,
} from "./claim_operation.js";

/** Whether a running claim is of an attempt that this process gave up. */
export type IsAbandoned = (record: ClaimRecord) => boolean;

export interface AppliedOperations {
  readonly records: ReadonlyMap<ClaimHash, ClaimRecord>;
  readonly results: readonly OperationResult[];
  readonly isChanged: boolean;
}

export interface ApplyContext {
  readonly records: ReadonlyMap<ClaimHash, ClaimRecord>;
  readonly isAbandoned: IsAbandoned;
}

/**
 * Applies operations in order. They are idempotent: after a lost response the
 * same batch can be applied to the head that is read back.
 *
 * @example
 * ```ts
 * const applied = applyOperations(operations, { records, isAbandoned });
 * if (applied.isChanged) await update(applied.records);
 * ```
 */
export function applyOperations(
  operations: readonly Operation[],
  context: ApplyContext,
): AppliedOperations {
  const records = new Map(context.records);
  const results: OperationResult[] = [];
  let isChanged = false;
  for (const operation of operations) {
    const applied = applyOne(operation, { ...context, records });
    results.push(applied.result);
    if (applied.next === "same") continue;
    isChanged = true;
    if (applied.next === "absent") records.delete(operation.hash);
    else records.set(operation.hash, applied.next);
  }
  return { records, results, isChanged };
}

interface AppliedOperation {
  readonly result: OperationResult;
  /** The new record of the key. */
  readonly next: ClaimRecord | "same" | "absent";
}

function applyOne(
  operation: Operation,
  context: ApplyContext,
): AppliedOperation {
  switch (operation.kind) {
    case "claim":
      return applyClaim(operation, context);
    case "settle":
      return applySettle(operation, context.records.get(operation.hash));
  }
}

function applyClaim(
  operation: ClaimOperation,
  context: ApplyContext,
): AppliedOperation {
  const { record } = operation;
  const existing = context.records.get(operation.hash);
  if (existing === undefined || context.isAbandoned(existing)) {
    return { result: { kind: "committed" }, next: record };
  }
  if (existing.attemptId === record.attemptId) {
    return { result: { kind: "committed" }, next: "same" };
  }
  return { result: { kind: "existing", record: existing }, next: "same" };
}

/** Only its holder settles an attempt, so a missing one is already settled. */
function applySettle(
  operation: SettleOperation,
  existing: ClaimRecord | undefined,
): AppliedOperation {
  const result = { kind: "recorded" } as const;
  if (existing?.attemptId !== operation.attemptId) {
    return { result, next: "same" };
  }
  const settled = settleRecord(existing, operation.outcome);
  if (settled === undefined) return { result, next: "absent" };
  const isSame = settled.state === existing.state;
  return { result, next: isSame ? "same" : settled };
}

/**
 * Returns the record with the attempt's outcome, or `undefined` if the key is
 * free again.
 *
 * @example
 * ```ts
 * const settled = settleRecord(record, { kind: "unknown" });
 * ```
 */
export function settleRecord(
  record: ClaimRecord,
  outcome: ClaimOutcome,
): ClaimRecord | undefined {
  switch (outcome.kind) {
    case "answered":
      return { ...record, state: "answered", answer: outcome.answer };
    case "unknown":
      return { ...record, state: "unknown" };
    case "notRun":
      return undefined;
  }
}
