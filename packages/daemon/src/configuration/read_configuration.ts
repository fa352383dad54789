/**
 * Reads the accepted configuration from the platform, whole or not at all.
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

/** Undefined before the first configuration is accepted. */
export async function readHead(
  store: ObjectStore,
): Promise<StoredHead | undefined> {
  const stored = await orUnreachable(store.read(HEAD_KEY));
  return stored === undefined ? undefined : toStoredHead(stored);
}

/** Checks that the object is a head. */
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

/** A checked part and where it was read. */
export interface StoredPart {
  readonly reference: PartReference;
  readonly part: ConfigurationPart;
}

/** Reads parts; those of the generation read last are not read again. */
export class PartReader {
  readonly #store: ObjectStore;
  #known = new Map<string, StoredPart>();

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** All parts of one generation, in their order. */
  async read(change: AcceptedChange): Promise<StoredPart[]> {
    const parts = await Promise.all(
      change.parts.map((reference) => this.#readPart(reference)),
    );
    this.#known = new Map(parts.map((part) => [part.reference.key, part]));
    return parts;
  }

  async #readPart(reference: PartReference): Promise<StoredPart> {
    const known = this.#known.get(reference.key);
    if (known?.reference.version === reference.version) return known;
    const stored = await orUnreachable(this.#store.read(reference.key));
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

/** Joins parts and checks the whole. */
export function toConfiguration(
  parts: readonly StoredPart[],
  generation: number,
): Configuration {
  const content = joinConfiguration(parts.map((stored) => stored.part));
  const [fault] = content === undefined
    ? [{ path: "", message: "It is no whole" }]
    : findContentFaults(content);
  if (content !== undefined && fault === undefined) {
    return { ...content, generation };
  }
  throw new ConfigurationError(
    "unreadable",
    `Generation ${generation} is invalid at "${fault?.path ?? ""}"`,
  );
}

async function orUnreachable<Answer>(call: Promise<Answer>): Promise<Answer> {
  try {
    return await call;
  } catch (cause) {
    if (!(cause instanceof PlatformError)) throw cause;
    throw new ConfigurationError("unreachable", cause.message, { cause });
  }
}
