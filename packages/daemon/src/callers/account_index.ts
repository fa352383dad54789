/**
 * Finds the client account that a bearer key belongs to.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { ClientAccount, Pipeline } from "@sassafrasstage/protocol/rules";

const BEARER_PREFIX = "Bearer ";

interface ConfigurationIndex {
  readonly accountsByKey: ReadonlyMap<string, ClientAccount>;
  readonly pipelines: ReadonlyMap<string, Pipeline>;
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/**
 * The account of an `Authorization` header, or undefined. Keys are compared by
 * their SHA-256, so the time a look-up takes tells nothing of a key.
 *
 * @example
 * ```ts
 * const account = findAccount(configuration, request.headers.authorization);
 * ```
 */
export function findAccount(
  configuration: Configuration,
  authorization: string | undefined,
): ClientAccount | undefined {
  if (!authorization?.startsWith(BEARER_PREFIX)) return undefined;
  const key = authorization.slice(BEARER_PREFIX.length).trim();
  const digest = createHash("sha256").update(key).digest("hex");
  return indexOf(configuration).accountsByKey.get(digest);
}

/** The pipeline of that name, or undefined. */
export function findPipeline(
  configuration: Configuration,
  name: string,
): Pipeline | undefined {
  return indexOf(configuration).pipelines.get(name);
}

function indexOf(configuration: Configuration): ConfigurationIndex {
  const known = indexes.get(configuration);
  if (known !== undefined) return known;
  const made = makeIndex(configuration);
  indexes.set(configuration, made);
  return made;
}

function makeIndex(configuration: Configuration): ConfigurationIndex {
  const accountsByKey = new Map<string, ClientAccount>();
  for (const account of configuration.rules.clientAccounts) {
    for (const digest of account.keySha256) accountsByKey.set(digest, account);
  }
  const pipelines = new Map<string, Pipeline>(
    configuration.rules.pipelines.map((pipeline) => [pipeline.name, pipeline]),
  );
  return { accountsByKey, pipelines };
}
