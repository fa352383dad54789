/**
 * Computes and applies the delta from one configuration to a later one.
 *
 * @module
 */

import {
  type Configuration,
  type ConfigurationContent,
  findContentFaults,
} from "@sassafrasstage/protocol/configuration";
import {
  type ConfigurationDelta,
  configurationDeltaSchema,
  type ListChange,
} from "@sassafrasstage/protocol/configuration_delta";

/**
 * The delta from the older configuration to the newer one. It doesn't keep the
 * order of entries, which has no meaning.
 *
 * @example
 * ```ts
 * const delta = diffConfigurations(older, newer);
 * applyDelta(older, delta); // equivalent to newer
 * ```
 */
export function diffConfigurations(
  older: Configuration,
  newer: Configuration,
): ConfigurationDelta {
  const before = older.register;
  const after = newer.register;
  return {
    fromGeneration: older.generation,
    generation: newer.generation,
    dataCentres: diffList(before.dataCentres, after.dataCentres, nameOf),
    models: diffList(before.models, after.models, nameOf),
    services: diffList(before.services, after.services, nameOf),
    backendServers: diffList(
      before.backendServers,
      after.backendServers,
      idOf,
    ),
    pipelines: diffList(older.rules.pipelines, newer.rules.pipelines, nameOf),
    clientAccounts: diffList(
      older.rules.clientAccounts,
      newer.rules.clientAccounts,
      idOf,
    ),
    dataCentresOut: newer.rules.dataCentresOut,
    backendServersOut: newer.rules.backendServersOut,
  };
}

/** Applies a delta that has been validated against its schema. */
export function applyDelta(
  base: ConfigurationContent,
  delta: ConfigurationDelta,
): ConfigurationContent {
  const { register, rules } = base;
  return {
    register: {
      dataCentres: applyList(register.dataCentres, delta.dataCentres, nameOf),
      models: applyList(register.models, delta.models, nameOf),
      services: applyList(register.services, delta.services, nameOf),
      backendServers: applyList(
        register.backendServers,
        delta.backendServers,
        idOf,
      ),
    },
    rules: {
      pipelines: applyList(rules.pipelines, delta.pipelines, nameOf),
      clientAccounts: applyList(
        rules.clientAccounts,
        delta.clientAccounts,
        idOf,
      ),
      dataCentresOut: delta.dataCentresOut,
      backendServersOut: delta.backendServersOut,
    },
  };
}

export type DeltasResult =
  | { readonly kind: "applied"; readonly configuration: Configuration }
  /**
   * No delta starts at this generation, one in between is missing, or all are
   * already in force.
   */
  | { readonly kind: "unfitting" }
  | { readonly kind: "invalid" };

/**
 * Validates and applies a chain of deltas from another daemon, skipping those
 * that are already in force. The resulting configuration is validated as a
 * whole.
 */
export function applyDeltas(
  base: Configuration,
  received: readonly unknown[],
): DeltasResult {
  let configuration = base;
  for (const value of received) {
    const delta = configurationDeltaSchema.safeParse(value).data;
    if (delta === undefined) return { kind: "invalid" };
    if (delta.generation <= delta.fromGeneration) return { kind: "invalid" };
    if (delta.generation <= configuration.generation) continue;
    if (delta.fromGeneration !== configuration.generation) {
      return { kind: "unfitting" };
    }
    configuration = {
      ...applyDelta(configuration, delta),
      generation: delta.generation,
    };
  }
  if (configuration === base) return { kind: "unfitting" };
  if (findContentFaults(configuration, base).length > 0) {
    return { kind: "invalid" };
  }
  return { kind: "applied", configuration };
}

interface Named {
  readonly name: string;
}

interface Identified {
  readonly id: string;
}

function nameOf(entry: Named): string {
  return entry.name;
}

function idOf(entry: Identified): string {
  return entry.id;
}

type KeyOf<Entry> = (entry: Entry) => string;

function diffList<Entry>(
  before: readonly Entry[],
  after: readonly Entry[],
  keyOf: KeyOf<Entry>,
): ListChange<Entry> {
  if (before === after) return { upserted: [], removed: [] };
  const old = new Map(before.map((entry) => [keyOf(entry), entry]));
  const upserted: Entry[] = [];
  for (const entry of after) {
    const key = keyOf(entry);
    if (!isSame(old.get(key), entry)) upserted.push(entry);
    old.delete(key);
  }
  return { upserted, removed: [...old.keys()] };
}

function applyList<Entry>(
  before: Entry[],
  change: ListChange<Entry>,
  keyOf: KeyOf<Entry>,
): Entry[] {
  const { upserted, removed } = change;
  if (upserted.length === 0 && removed.length === 0) return before;
  const entries = new Map(before.map((entry) => [keyOf(entry), entry]));
  for (const key of removed) entries.delete(key);
  for (const entry of upserted) entries.set(keyOf(entry), entry);
  return [...entries.values()];
}

/** Unchanged entries are mostly the same object, which avoids serialization. */
function isSame<Entry>(one: Entry | undefined, other: Entry): boolean {
  return one === other || JSON.stringify(one) === JSON.stringify(other);
}
