/**
 * Look-ups in a configuration that take the same time at any size.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { BackendServer, Service } from "@sassafrasstage/protocol/register";
import type { ClientAccount, Pipeline } from "@sassafrasstage/protocol/rules";

const BEARER_PREFIX = "Bearer ";

/** The entries of one configuration by name. */
export interface ConfigurationIndex {
  readonly accountsByKeySha256: ReadonlyMap<string, ClientAccount>;
  readonly pipelines: ReadonlyMap<string, Pipeline>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<BackendServerId, BackendServer>;
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/**
 * The index of a configuration, made at its first use.
 *
 * @example
 * ```ts
 * const server = indexOf(configuration).backendServers.get(permit.backendServerId);
 * ```
 */
export function indexOf(configuration: Configuration): ConfigurationIndex {
  const known = indexes.get(configuration);
  if (known !== undefined) return known;
  const made = makeIndex(configuration);
  indexes.set(configuration, made);
  return made;
}

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
  return indexOf(configuration).accountsByKeySha256.get(digest);
}

function makeIndex(configuration: Configuration): ConfigurationIndex {
  const { register, rules } = configuration;
  const accountsByKeySha256 = new Map<string, ClientAccount>();
  for (const account of rules.clientAccounts) {
    for (const digest of account.keySha256) {
      accountsByKeySha256.set(digest, account);
    }
  }
  return {
    accountsByKeySha256,
    pipelines: new Map(rules.pipelines.map((entry) => [entry.name, entry])),
    services: new Map(register.services.map((entry) => [entry.name, entry])),
    backendServers: new Map(
      register.backendServers.map((entry) => [entry.id, entry]),
    ),
  };
}
