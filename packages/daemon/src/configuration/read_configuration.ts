/**
 * Reads the accepted configuration from the platform, whole or not at all.
 *
 * @module
 */

import {
  checkConfiguration,
  type Configuration,
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
import { joinConfiguration } from "./configuration_parts.js";

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

/** The values of all parts of one generation, in their order. */
export async function readParts(
  store: ObjectStore,
  change: AcceptedChange,
): Promise<unknown[]> {
  return Promise.all(change.parts.map((part) => readPart(store, part)));
}

/** Reads all parts, joins them and checks the whole. */
export async function readConfiguration(
  store: ObjectStore,
  change: AcceptedChange,
): Promise<Configuration> {
  const values = await readParts(store, change);
  return toConfiguration(values, change.generation);
}

/** Joins parts and checks the whole. */
export function toConfiguration(
  values: readonly unknown[],
  generation: number,
): Configuration {
  const check = checkConfiguration(joinConfiguration(values));
  if (check.kind === "valid") return { ...check.content, generation };
  const fault = check.faults[0];
  throw new ConfigurationError(
    "unreadable",
    `Generation ${generation} is invalid at "${fault?.path ?? ""}"`,
  );
}

async function readPart(
  store: ObjectStore,
  part: PartReference,
): Promise<unknown> {
  const stored = await orUnreachable(store.read(part.key));
  if (stored?.version === part.version) return stored.value;
  throw new ConfigurationError(
    "unreadable",
    `The part ${part.key} is missing or not of version ${part.version}`,
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
