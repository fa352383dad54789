/**
 * Reads the accepted configuration from the platform and fails if any part of
 * it can't be read.
 *
 * @module
 */

import {
  type Configuration,
  findContentFaults,
} from "@sassafrasstage/protocol/configuration";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { ConfigurationError } from "./configuration_error.js";
import {
  type AcceptedChange,
  HEAD_KEY,
  parseHead,
  type PartReference,
  type StoredHead,
} from "./configuration_head.js";
import {
  type ConfigurationPart,
  joinConfiguration,
  parsePart,
} from "./configuration_parts.js";

/** Undefined until the first configuration is accepted. */
export async function readHead(
  store: ObjectStore,
): Promise<StoredHead | undefined> {
  const stored = await wrapPlatformError(store.read(HEAD_KEY));
  return stored === undefined ? undefined : toStoredHead(stored);
}

/** Throws a `ConfigurationError` unless the object is a valid head. */
export function toStoredHead(stored: StoredObject): StoredHead {
  const head = parseHead(stored.value);
  const accepted = head?.changes[0];
  if (head === undefined || accepted === undefined) {
    throw new ConfigurationError(
      "unreadable",
      `The head of version ${stored.version} is malformed`,
    );
  }
  return { version: stored.version, accepted, head };
}

/** A validated part and the reference to its object. */
export interface StoredPart {
  readonly reference: PartReference;
  readonly part: ConfigurationPart;
}

/** Reads parts, and caches those of the generation that was read last. */
export class PartReader {
  readonly #store: ObjectStore;
  #cache = new Map<string, StoredPart>();

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** All parts of one generation, in order. */
  async read(change: AcceptedChange): Promise<StoredPart[]> {
    const parts = await Promise.all(
      change.parts.map((reference) => this.#readPart(reference)),
    );
    this.#cache = new Map(parts.map((part) => [part.reference.key, part]));
    return parts;
  }

  async #readPart(reference: PartReference): Promise<StoredPart> {
    const cached = this.#cache.get(reference.key);
    if (cached?.reference.version === reference.version) return cached;
    const stored = await wrapPlatformError(this.#store.read(reference.key));
    const part = stored?.version === reference.version
      ? parsePart(stored.value)
      : undefined;
    if (part !== undefined) return { reference, part };
    throw new ConfigurationError(
      "unreadable",
      `The part ${reference.key} is missing, replaced or malformed`,
    );
  }
}

/** Joins the parts and validates the resulting configuration. */
export function toConfiguration(
  parts: readonly StoredPart[],
  generation: number,
): Configuration {
  const content = joinConfiguration(parts.map((stored) => stored.part));
  const [fault] = content === undefined
    ? [{ path: "", message: "The configuration is incomplete" }]
    : findContentFaults(content);
  if (content !== undefined && fault === undefined) {
    return { ...content, generation };
  }
  throw new ConfigurationError(
    "unreadable",
    `Generation ${generation} is invalid at "${fault?.path ?? ""}"`,
  );
}

async function wrapPlatformError<Value>(call: Promise<Value>): Promise<Value> {
  try {
    return await call;
  } catch (cause) {
    if (!(cause instanceof PlatformError)) throw cause;
    throw new ConfigurationError("unreachable", cause.message, { cause });
  }
}
