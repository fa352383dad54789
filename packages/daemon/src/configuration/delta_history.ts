/**
 * The last changes of the configuration in force here.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { ConfigurationDelta } from "@sassafrasstage/protocol/configuration_delta";
import { diffConfigurations } from "./configuration_deltas.js";

const REMEMBERED_DELTAS = 32;
/** A change of more entries is handed over as a whole. */
const MAX_DELTA_ENTRIES = 1000;

/** Answers with what changed since a generation. */
export class DeltaHistory {
  #deltas: ConfigurationDelta[] = [];

  /** To be told of every configuration that comes into force. */
  note(older: Configuration | undefined, newer: Configuration): void {
    if (older === undefined) return;
    const delta = diffConfigurations(older, newer);
    if (countEntries(delta) > MAX_DELTA_ENTRIES) {
      this.#deltas = [];
      return;
    }
    this.#deltas = [...this.#deltas, delta].slice(-REMEMBERED_DELTAS);
  }

  /** Undefined when the changes since then aren't all remembered. */
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
