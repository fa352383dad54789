/**
 * Constant-time look-ups in a configuration.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { BackendServer, Service } from "@sassafrasstage/protocol/register";
import type { ClientAccount, Pipeline } from "@sassafrasstage/protocol/rules";

const BEARER_PREFIX = "Bearer ";

/** The entries of one configuration by their keys. */
export interface ConfigurationIndex {
  readonly accountsByKeySha256: ReadonlyMap<string, ClientAccount>;
  readonly pipelines: ReadonlyMap<string, Pipeline>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<BackendServerId, BackendServer>;
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/**
 * The index of a configuration, built on first use and cached.
 *
 * @example
 * ```ts
 * const server = getConfigurationIndex(configuration)
 *   .backendServers.get(permit.backendServerId);
 * ```
 */
export function getConfigurationIndex(
  configuration: Configuration,
): ConfigurationIndex {
  const cached = indexes.get(configuration);
  if (cached !== undefined) return cached;
  const created = buildIndex(configuration);
  indexes.set(configuration, created);
  return created;
}

/**
 * The account of an `Authorization` header, or undefined. Keys are looked up by
 * their SHA-256 digest, so the duration of a look-up reveals nothing about a
 * key.
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
  return getConfigurationIndex(configuration).accountsByKeySha256.get(digest);
}

function buildIndex(configuration: Configuration): ConfigurationIndex {
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
