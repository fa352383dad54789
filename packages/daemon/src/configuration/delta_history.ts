/**
 * The most recent changes of the configuration in force in this process.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { ConfigurationDelta } from "@sassafrasstage/protocol/configuration_delta";
import { diffConfigurations } from "./configuration_deltas.js";

const MAX_STORED_DELTAS = 32;
/**
 * A change of more entries isn't kept and clears the history; peers then get the
 * full configuration.
 */
const MAX_DELTA_ENTRIES = 1000;

/** Stores recent deltas to answer peers with an older generation. */
export class DeltaHistory {
  #deltas: ConfigurationDelta[] = [];

  /** Must be called for every configuration that comes into force. */
  record(older: Configuration | undefined, newer: Configuration): void {
    if (older === undefined) return;
    const delta = diffConfigurations(older, newer);
    if (countEntries(delta) > MAX_DELTA_ENTRIES) {
      this.#deltas = [];
      return;
    }
    this.#deltas = [...this.#deltas, delta].slice(-MAX_STORED_DELTAS);
  }

  /** Undefined when the deltas since then aren't all stored. */
  since(generation: number): readonly ConfigurationDelta[] | undefined {
    const index = this.#deltas.findIndex((delta) =>
      delta.fromGeneration === generation
    );
    return index < 0 ? undefined : this.#deltas.slice(index);
  }
}

function countEntries(delta: ConfigurationDelta): number {
  const lists = [
    delta.dataCentres,
    delta.models,
    delta.services,
    delta.backendServers,
    delta.pipelines,
    delta.clientAccounts,
  ];
  const changed = lists.map((list) =>
    list.upserted.length + list.removed.length
  );
  return changed.reduce((sum, count) => sum + count, 0) +
    delta.dataCentresOut.length + delta.backendServersOut.length;
}
