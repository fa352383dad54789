/**
 * Accepts one configuration change: writes the new parts, then updates the head
 * on the condition that it hasn't changed since it was read.
 *
 * @module
 */

import type {
  Configuration,
  ConfigurationContent,
  ConfigurationFault,
} from "@sassafrasstage/protocol/configuration";
import type { ChangeId } from "@sassafrasstage/protocol/ids";
import { MAX_OBJECT_BYTES } from "@sassafrasstage/protocol/platform_objects";
import { isDeepStrictEqual } from "node:util";
import type { ObjectStore } from "../platform/object_store.js";
import {
  applyChange,
  type ConfigurationChange,
} from "./configuration_change.js";
import { ConfigurationError } from "./configuration_error.js";
import {
  type AcceptedChange,
  extendHead,
  findChange,
  findUnusedParts,
  type PartReference,
  type StoredHead,
} from "./configuration_head.js";
import {
  type ConfigurationPart,
  splitConfiguration,
} from "./configuration_parts.js";
import {
  PartReader,
  readHead,
  type StoredPart,
  toConfiguration,
} from "./read_configuration.js";
import { updateHead } from "./update_head.js";
import { removeParts, writeParts, type WrittenParts } from "./write_parts.js";

export interface Submission {
  readonly change: ConfigurationChange;
  readonly changeId: ChangeId;
  readonly author: string;
  readonly note?: string;
  /** The generation that the change is based on; any when absent. */
  readonly basedOnGeneration?: number;
  /**
   * The generation in force in this daemon. The new generation is higher, even
   * if the platform's head object was lost.
   */
  readonly knownGeneration: number;
}

export type AcceptResult =
  | {
    readonly kind: "accepted";
    readonly generation: number;
    readonly changeId: ChangeId;
    /**
     * Absent when no change was needed, or when an earlier or concurrent
     * submission with the same change id was accepted.
     */
    readonly configuration?: Configuration;
  }
  | { readonly kind: "invalid"; readonly faults: ConfigurationFault[] }
  | { readonly kind: "notFound"; readonly detail: string }
  /** Another change was accepted first; this one had no effect. */
  | { readonly kind: "conflict"; readonly newer: AcceptedChange }
  /** It may still be accepted: submit again with the same change id. */
  | { readonly kind: "outcomeUnknown"; readonly changeId: ChangeId };

/** The head and parts that a change is applied to. */
interface BaseGeneration {
  readonly head: StoredHead | undefined;
  readonly parts: readonly StoredPart[];
}

/**
 * Makes one attempt to accept the change. Rejects with a `ConfigurationError`
 * or a `PlatformError` only when nothing was accepted.
 */
export async function acceptConfiguration(
  store: ObjectStore,
  submission: Submission,
  partReader = new PartReader(store),
): Promise<AcceptResult> {
  const head = await readHead(store);
  const resolved = resolveFromHead(submission, head);
  if (resolved !== undefined) return resolved;
  const parts = await readBaseParts(partReader, { head, submission });
  const base: BaseGeneration = { head, parts };
  const changed = applyChange(submission.change, readBaseContent(base));
  switch (changed.kind) {
    case "invalid":
    case "notFound":
      return changed;
    case "unchanged":
      return {
        kind: "accepted",
        generation: head?.accepted.generation ?? 0,
        changeId: submission.changeId,
      };
    case "changed":
      return publish(store, { submission, base, content: changed.content });
  }
}

function resolveFromHead(
  submission: Submission,
  head: StoredHead | undefined,
): AcceptResult | undefined {
  const { changeId, basedOnGeneration } = submission;
  const earlier = findChange(head?.head, changeId);
  if (earlier !== undefined) {
    return { kind: "accepted", generation: earlier.generation, changeId };
  }
  if (head === undefined || basedOnGeneration === undefined) return undefined;
  if (basedOnGeneration === head.accepted.generation) return undefined;
  return { kind: "conflict", newer: head.accepted };
}

interface BaseQuery {
  readonly head: StoredHead | undefined;
  readonly submission: Submission;
}

async function readBaseParts(
  partReader: PartReader,
  query: BaseQuery,
): Promise<StoredPart[]> {
  if (query.head === undefined) return [];
  try {
    return await partReader.read(query.head.accepted);
  } catch (error) {
    const isUnreadable = error instanceof ConfigurationError &&
      error.kind === "unreadable";
    // A full replacement doesn't need the unreadable configuration.
    if (isUnreadable && query.submission.change.kind === "replace") return [];
    throw error;
  }
}

/**
 * Deferred, because a replacement neither reads nor checks the base content.
 */
function readBaseContent(
  base: BaseGeneration,
): () => ConfigurationContent | undefined {
  return () => {
    if (base.head === undefined) return undefined;
    return toConfiguration(base.parts, base.head.accepted.generation);
  };
}

interface Publication {
  readonly submission: Submission;
  readonly base: BaseGeneration;
  readonly content: ConfigurationContent;
}

async function publish(
  store: ObjectStore,
  publication: Publication,
): Promise<AcceptResult> {
  const { submission, base, content } = publication;
  const parts = splitConfiguration(content);
  const faults = findOversizedParts(parts);
  if (faults.length > 0) return { kind: "invalid", faults };
  const written = await writeParts(store, {
    parts,
    reusable: collectReusableParts(base),
  });
  const change = makeChange(publication, written);
  const head = extendHead(base.head?.head, change);
  const { changeId } = submission;
  const outcome = await updateHead(store, { changeId, base: base.head, head });
  switch (outcome.kind) {
    case "accepted": {
      const { generation } = outcome.change;
      const accepted = { kind: "accepted", generation, changeId } as const;
      if (!haveSameParts(outcome.change, change)) return accepted;
      if (base.head !== undefined) {
        void removeParts(store, findUnusedParts(base.head.head, head));
      }
      return { ...accepted, configuration: { ...content, generation } };
    }
    case "conflict":
      void removeParts(store, written.created);
      return outcome;
    case "notDone":
      void removeParts(store, written.created);
      throw outcome.error;
    case "outcomeUnknown":
      return { kind: "outcomeUnknown", changeId };
  }
}

/**
 * False when another daemon's submission with the same change id was accepted
 * first: its content may differ.
 */
function haveSameParts(one: AcceptedChange, other: AcceptedChange): boolean {
  return isDeepStrictEqual(one.parts, other.parts);
}

function makeChange(
  publication: Publication,
  written: WrittenParts,
): AcceptedChange {
  const { submission, base } = publication;
  const acceptedGeneration = base.head?.accepted.generation ?? 0;
  return {
    generation: Math.max(acceptedGeneration, submission.knownGeneration) + 1,
    changeId: submission.changeId,
    author: submission.author,
    ...submission.note === undefined ? {} : { note: submission.note },
    acceptedAt: new Date().toISOString(),
    parts: [...written.references],
  };
}

function collectReusableParts(
  base: BaseGeneration,
): Map<string, PartReference> {
  return new Map(
    base.parts.map(({ part, reference }) => [JSON.stringify(part), reference]),
  );
}

function findOversizedParts(
  parts: readonly ConfigurationPart[],
): ConfigurationFault[] {
  return parts
    .filter((part) =>
      Buffer.byteLength(JSON.stringify(part)) > MAX_OBJECT_BYTES
    )
    .map((part) => ({
      path: part.kind,
      message: `Needs more than the ${MAX_OBJECT_BYTES} bytes of one object`,
    }));
}
