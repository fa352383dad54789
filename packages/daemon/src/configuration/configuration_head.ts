/**
 * The head object: which generation is accepted, by which change, and of which
 * parts it consists. The conditional update of this one object accepts a
 * configuration.
 *
 * @module
 */

import { type ChangeId, toId } from "@sassafrasstage/protocol/ids";
import { z } from "zod";

export const HEAD_KEY = "configuration/head";
export const PARTS_PREFIX = "configuration/parts/";
/** Generations whose parts are kept, the accepted one included. */
const GENERATIONS_WITH_PARTS = 10;
/** Changes that are remembered, to settle repeats and for the history. */
const REMEMBERED_CHANGES = 100;

const partReferenceSchema = z.strictObject({
  key: z.string().startsWith(PARTS_PREFIX),
  version: z.int().nonnegative(),
});

const acceptedChangeSchema = z.strictObject({
  generation: z.int().min(1),
  changeId: z.string().transform((text) => toId<ChangeId>(text)),
  author: z.string(),
  note: z.string().exactOptional(),
  /** The submitting daemon's date and time, for people only. */
  acceptedAt: z.string(),
  /** Empty once the parts are no longer kept. */
  parts: z.array(partReferenceSchema),
});

const headSchema = z.strictObject({
  /** The newest first; the first one is in force. */
  changes: z.array(acceptedChangeSchema).min(1),
});

export type PartReference = z.infer<typeof partReferenceSchema>;
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>;
export type ConfigurationHead = z.infer<typeof headSchema>;

/** A change as operators see it. */
export type HistoryEntry = Omit<AcceptedChange, "parts">;

/** The head with the version that its next update has to expect. */
export interface StoredHead {
  readonly version: number;
  readonly accepted: AcceptedChange;
  readonly head: ConfigurationHead;
}

/** Reads a head object's value; undefined when it is no head. */
export function parseHead(value: unknown): ConfigurationHead | undefined {
  return headSchema.safeParse(value).data;
}

/** The head that follows when the change is accepted. */
export function extendHead(
  head: ConfigurationHead | undefined,
  change: AcceptedChange,
): ConfigurationHead {
  const changes = [change, ...head?.changes ?? []];
  return {
    changes: changes.slice(0, REMEMBERED_CHANGES).map((entry, index) =>
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

/** The change with this id, when it is among the remembered ones. */
export function findChange(
  head: ConfigurationHead | undefined,
  changeId: ChangeId,
): AcceptedChange | undefined {
  return head?.changes.find((change) => change.changeId === changeId);
}

/** Parts that the older head names and the newer one doesn't. */
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
