/**
 * The conditional update of the head, retried until its outcome is known.
 *
 * @module
 */

import type { ChangeId } from "@sassafrasstage/protocol/ids";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  ExpectedVersion,
  ObjectStore,
  UpdateResult,
} from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { ConfigurationError } from "./configuration_error.js";
import {
  type AcceptedChange,
  type ConfigurationHead,
  findChange,
  HEAD_KEY,
  type StoredHead,
} from "./configuration_head.js";
import { readHead } from "./read_configuration.js";

const MAX_ATTEMPTS = 6;
const INITIAL_RETRY_DELAY_MS = 50;

export interface HeadUpdate {
  readonly changeId: ChangeId;
  /** The head that the change is based on; undefined for the first one. */
  readonly base: StoredHead | undefined;
  readonly head: ConfigurationHead;
}

export type HeadOutcome =
  | { readonly kind: "accepted"; readonly change: AcceptedChange }
  /** Another change was accepted first; this one can no longer take effect. */
  | { readonly kind: "conflict"; readonly newer: AcceptedChange }
  /** Definitely not accepted. */
  | { readonly kind: "notDone"; readonly error: PlatformError }
  | { readonly kind: "outcomeUnknown" };

type Attempt = UpdateResult | { readonly kind: "failed"; error: PlatformError };

/**
 * Retries the same conditional update while its outcome is unknown. At most one
 * of the attempts can take effect, because all expect the same version.
 */
export async function updateHead(
  store: ObjectStore,
  update: HeadUpdate,
): Promise<HeadOutcome> {
  let mayHaveTakenEffect = false;
  for (let index = 0; index < MAX_ATTEMPTS; index += 1) {
    if (index > 0) await sleep(INITIAL_RETRY_DELAY_MS * 2 ** (index - 1));
    const attempt = await tryUpdate(store, update);
    if (attempt.kind === "failed" && attempt.error.kind === "notDone") {
      if (!mayHaveTakenEffect) return { kind: "notDone", error: attempt.error };
      continue;
    }
    const [change] = update.head.changes;
    if (attempt.kind === "updated" && change !== undefined) {
      return { kind: "accepted", change };
    }
    mayHaveTakenEffect = true;
    const outcome = await readOutcome(store, update);
    if (outcome !== undefined) return outcome;
  }
  return { kind: "outcomeUnknown" };
}

async function tryUpdate(
  store: ObjectStore,
  update: HeadUpdate,
): Promise<Attempt> {
  const expected: ExpectedVersion = update.base === undefined
    ? { kind: "absent" }
    : { kind: "version", version: update.base.version };
  try {
    return await store.update(HEAD_KEY, update.head, expected);
  } catch (error) {
    if (error instanceof PlatformError) return { kind: "failed", error };
    throw error;
  }
}

/** Undefined while the head is still the base version, or can't be read. */
async function readOutcome(
  store: ObjectStore,
  update: HeadUpdate,
): Promise<HeadOutcome | undefined> {
  const stored = await tryReadHead(store);
  const change = findChange(stored?.head, update.changeId);
  if (change !== undefined) return { kind: "accepted", change };
  if (stored === undefined || stored.version === update.base?.version) {
    return undefined;
  }
  return { kind: "conflict", newer: stored.accepted };
}

async function tryReadHead(
  store: ObjectStore,
): Promise<StoredHead | undefined> {
  try {
    return await readHead(store);
  } catch (error) {
    if (error instanceof ConfigurationError) return undefined;
    throw error;
  }
}
