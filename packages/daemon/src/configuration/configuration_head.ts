/**
 * The head object: the accepted generation, the change that produced it, and
 * the parts that it consists of. A configuration is accepted by a conditional
 * update of this object.
 *
 * @module
 */

import { type ChangeId, toId } from "@sassafrasstage/protocol/ids";
import { z } from "zod";

export const HEAD_KEY = "configuration/head";
export const PARTS_PREFIX = "configuration/parts/";
/** Number of generations whose parts are kept, the accepted one included. */
const GENERATIONS_WITH_PARTS = 10;
/** Changes kept in the head, to detect resubmissions and for the history. */
const MAX_STORED_CHANGES = 100;

const partReferenceSchema = z.strictObject({
  key: z.string().startsWith(PARTS_PREFIX),
  version: z.int().nonnegative(),
});

const acceptedChangeSchema = z.strictObject({
  generation: z.int().min(1),
  changeId: z.string().transform((text) => toId<ChangeId>(text)),
  author: z.string(),
  note: z.string().exactOptional(),
  /** The submitting daemon's wall-clock time, for display only. */
  acceptedAt: z.string(),
  /** Empty when the parts are no longer kept. */
  parts: z.array(partReferenceSchema),
});

const headSchema = z.strictObject({
  /** Newest first; the first one is the accepted one. */
  changes: z.array(acceptedChangeSchema).min(1),
});

export type PartReference = z.infer<typeof partReferenceSchema>;
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>;
export type ConfigurationHead = z.infer<typeof headSchema>;

/** A change as operators see it. */
export type HistoryEntry = Omit<AcceptedChange, "parts">;

/** The head and its stored version, which the next update has to expect. */
export interface StoredHead {
  readonly version: number;
  readonly accepted: AcceptedChange;
  readonly head: ConfigurationHead;
}

/** Parses a head object's value; undefined when it isn't a valid head. */
export function parseHead(value: unknown): ConfigurationHead | undefined {
  return headSchema.safeParse(value).data;
}

/** The new head with the change as the accepted one. */
export function extendHead(
  head: ConfigurationHead | undefined,
  change: AcceptedChange,
): ConfigurationHead {
  const changes = [change, ...head?.changes ?? []];
  return {
    changes: changes.slice(0, MAX_STORED_CHANGES).map((entry, index) =>
      index < GENERATIONS_WITH_PARTS ? entry : { ...entry, parts: [] }
    ),
  };
}

/** The change without the keys of its parts. */
export function describeChange(change: AcceptedChange): HistoryEntry {
  const { generation, changeId, author, note, acceptedAt } = change;
  const entry = { generation, changeId, author, acceptedAt };
  return note === undefined ? entry : { ...entry, note };
}

/** The change with this id, if the head still lists it. */
export function findChange(
  head: ConfigurationHead | undefined,
  changeId: ChangeId,
): AcceptedChange | undefined {
  return head?.changes.find((change) => change.changeId === changeId);
}

/** Parts that the older head references and the newer one doesn't. */
export function findUnusedParts(
  older: ConfigurationHead,
  newer: ConfigurationHead,
): PartReference[] {
  const used = new Set(
    newer.changes.flatMap((change) => change.parts.map((part) => part.key)),
  );
  const unused = new Map<string, PartReference>();
  for (const part of older.changes.flatMap((change) => change.parts)) {
    if (!used.has(part.key)) unused.set(part.key, part);
  }
  return [...unused.values()];
}
