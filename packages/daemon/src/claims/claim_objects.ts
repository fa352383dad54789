/**
 * The platform objects that hold claims.
 *
 * | key | content |
 * |---|---|
 * | `claims/layout` | number of partitions, epoch |
 * | `claims/{partition}/head` | the newest claims, and the list of segments |
 * | `claims/{partition}/{segment}` | older claims; keys are never added |
 *
 * @module
 */

import type { ClaimRecord } from "@sassafrasstage/protocol/claims";
import type { AttemptId, ClientAccountId } from "@sassafrasstage/protocol/ids";
import { toId } from "@sassafrasstage/protocol/ids";
import { z } from "zod";

export const LAYOUT_KEY = "claims/layout";

const layoutSchema = z.object({
  partitions: z.int().positive(),
  epoch: z.int().nonnegative(),
});

/** Only the epoch ever changes. */
export type ClaimLayout = Readonly<z.infer<typeof layoutSchema>>;

const answerSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
});

const recordSchema = z.object({
  key: z.object({
    clientAccountId: z.string().transform((t) => toId<ClientAccountId>(t)),
    idempotencyKey: z.string(),
  }),
  contentSha256: z.string(),
  attemptId: z.string().transform((t) => toId<AttemptId>(t)),
  holder: z.string(),
  state: z.enum(["running", "answered", "unknown"]),
  answer: answerSchema.exactOptional(),
});

const segmentEntrySchema = z.object({
  name: z.string(),
  /** The epoch in which the segment was split off from the head. */
  epoch: z.int().nonnegative(),
});

/** The head's reference to a segment. */
export type SegmentEntry = Readonly<z.infer<typeof segmentEntrySchema>>;

const headSchema = z.object({
  segments: z.array(segmentEntrySchema),
  records: z.array(recordSchema),
});

export interface PartitionHead {
  readonly segments: readonly SegmentEntry[];
  readonly records: readonly ClaimRecord[];
}

const segmentSchema = z.object({ records: z.array(recordSchema) });

export interface ClaimSegment {
  readonly records: readonly ClaimRecord[];
}

export function headKey(partition: number): string {
  return `claims/${partition}/head`;
}

export function segmentKey(partition: number, name: string): string {
  return `claims/${partition}/${name}`;
}

/** Like the other parsers, throws a `ClaimStoreError` for an invalid value. */
export function parseLayout(value: unknown): ClaimLayout {
  return parse(layoutSchema, value, LAYOUT_KEY);
}

export function parseHead(value: unknown, key: string): PartitionHead {
  return parse(headSchema, value, key);
}

export function parseSegment(value: unknown, key: string): ClaimSegment {
  return parse(segmentSchema, value, key);
}

/** A claim object in the platform doesn't match its schema. */
export class ClaimStoreError extends Error {
  override readonly name = "ClaimStoreError";
}

function parse<Output>(
  schema: z.ZodType<Output>,
  value: unknown,
  key: string,
): Output {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new ClaimStoreError(`Object ${key} doesn't match its schema`, {
    cause: parsed.error,
  });
}

/** The size of a value in bytes, as the platform counts them. */
export function byteSizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
