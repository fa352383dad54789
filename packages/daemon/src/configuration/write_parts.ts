/**
 * Writes the parts of a configuration under unique keys, and removes parts that
 * are no longer referenced.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type PartReference, PARTS_PREFIX } from "./configuration_head.js";
import type { ConfigurationPart } from "./configuration_parts.js";

const MAX_TRIES = 4;
const RETRY_DELAY_MS = 50;

export interface PartsToWrite {
  readonly parts: readonly ConfigurationPart[];
  /** Stored parts of the base generation, keyed by the JSON of their value. */
  readonly reusable: ReadonlyMap<string, PartReference>;
}

export interface WrittenParts {
  /** All parts in order, including those reused from the base generation. */
  readonly references: readonly PartReference[];
  /** The parts that this change created. */
  readonly created: readonly PartReference[];
}

/**
 * Writes the new parts and reuses unchanged ones. Reuse is safe as long as the
 * head update expects the base version: the parts of the accepted generation
 * are never removed.
 */
export async function writeParts(
  store: ObjectStore,
  input: PartsToWrite,
): Promise<WrittenParts> {
  const keyPrefix = `${PARTS_PREFIX}${randomUUID()}`;
  const created: PartReference[] = [];
  const writes = input.parts.map(async (part, index) => {
    const reused = input.reusable.get(JSON.stringify(part));
    if (reused !== undefined) return reused;
    const reference = await writePart(store, `${keyPrefix}/${index}`, part);
    created.push(reference);
    return reference;
  });
  const results = await Promise.allSettled(writes);
  const references: PartReference[] = [];
  for (const result of results) {
    if (result.status === "fulfilled") {
      references.push(result.value);
      continue;
    }
    await removeParts(store, created);
    throw result.reason;
  }
  return { references, created };
}

/** Ignores failures: parts that remain are harmless. */
export async function removeParts(
  store: ObjectStore,
  parts: readonly PartReference[],
): Promise<void> {
  await Promise.allSettled(
    parts.map((part) => store.remove(part.key, part.version)),
  );
}

async function writePart(
  store: ObjectStore,
  key: string,
  part: ConfigurationPart,
): Promise<PartReference> {
  for (let index = 1;; index += 1) {
    try {
      const result = await store.update(key, part, { kind: "absent" });
      if (result.kind === "updated") return { key, version: result.version };
      // The key is unique, so an earlier attempt whose response was lost wrote
      // it.
      const stored = await store.read(key);
      if (stored !== undefined) return { key, version: stored.version };
    } catch (error) {
      if (!(error instanceof PlatformError) || index >= MAX_TRIES) throw error;
    }
    if (index >= MAX_TRIES) {
      throw new PlatformError(
        "notDone",
        `The part ${key} could not be written`,
      );
    }
    await sleep(RETRY_DELAY_MS * index);
  }
}
