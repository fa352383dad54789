/**
 * Decides what a batch of operations makes of the head of a partition. The
 * head is changed only if it is still the one that was read, so the decisions
 * hold if and only if the platform takes the update.
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

/** Whether a running claim was made here but its attempt was given up. */
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
 * Applies operations in their order. Applying one again changes nothing, so
 * that after a lost answer the same batch can be applied to what is read back.
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
    const step = applyOne(operation, { ...context, records });
    results.push(step.result);
    if (step.next === "same") continue;
    isChanged = true;
    if (step.next === "absent") records.delete(operation.hash);
    else records.set(operation.hash, step.next);
  }
  return { records, results, isChanged };
}

interface Step {
  readonly result: OperationResult;
  /** What the key's record becomes. */
  readonly next: ClaimRecord | "same" | "absent";
}

function applyOne(operation: Operation, context: ApplyContext): Step {
  switch (operation.kind) {
    case "claim":
      return applyClaim(operation, context);
    case "settle":
      return applySettle(operation, context.records.get(operation.hash));
  }
}

function applyClaim(operation: ClaimOperation, context: ApplyContext): Step {
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

/** Nobody else settles an attempt, so its absence means that it is settled. */
function applySettle(
  operation: SettleOperation,
  existing: ClaimRecord | undefined,
): Step {
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
 * A record after its attempt ended; `undefined` when the key is free again.
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
