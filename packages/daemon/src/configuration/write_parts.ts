/**
 * Writes the parts of a configuration under fresh keys, and removes parts that
 * no kept generation names.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type PartReference, PARTS_PREFIX } from "./configuration_head.js";
import type { ConfigurationPart } from "./configuration_parts.js";

const TRIES = 4;
const PAUSE_MS = 50;

export interface PartsToWrite {
  readonly parts: readonly ConfigurationPart[];
  /** Stored parts of the base generation by the JSON text of their value. */
  readonly reusable: ReadonlyMap<string, PartReference>;
}

export interface WrittenParts {
  /** All parts in their order, those of the base generation included. */
  readonly references: readonly PartReference[];
  /** Those that only this change names. */
  readonly fresh: readonly PartReference[];
}

/**
 * Reuses the parts that didn't change. That is safe as long as the head update
 * expects the base generation: nobody removes the parts of the newest one.
 */
export async function writeParts(
  store: ObjectStore,
  input: PartsToWrite,
): Promise<WrittenParts> {
  const keyPrefix = `${PARTS_PREFIX}${randomUUID()}`;
  const fresh: PartReference[] = [];
  const writes = input.parts.map(async (part, index) => {
    const reused = input.reusable.get(JSON.stringify(part));
    if (reused !== undefined) return reused;
    const reference = await writePart(store, `${keyPrefix}/${index}`, part);
    fresh.push(reference);
    return reference;
  });
  const results = await Promise.allSettled(writes);
  const references: PartReference[] = [];
  for (const result of results) {
    if (result.status === "fulfilled") {
      references.push(result.value);
      continue;
    }
    await removeParts(store, fresh);
    throw result.reason;
  }
  return { references, fresh };
}

/** Removes what it can; a part that stays does no harm. */
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
      // The key is ours alone: an earlier try whose answer was lost took it.
      const stored = await store.read(key);
      if (stored !== undefined) return { key, version: stored.version };
    } catch (error) {
      if (!(error instanceof PlatformError) || index >= TRIES) throw error;
    }
    if (index >= TRIES) {
      throw new PlatformError(
        "notDone",
        `The part ${key} could not be written`,
      );
    }
    await sleep(PAUSE_MS * index);
  }
}
