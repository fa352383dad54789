/**
 * The configuration in force in this process. Its generation never decreases.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { ConfigurationDelta } from "@sassafrasstage/protocol/configuration_delta";
import Emittery from "emittery";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  ConfigurationEvents,
  ConfigurationSource,
} from "./configuration_source.js";
import { DeltaHistory } from "./delta_history.js";

export interface AdoptedConfigurationOptions {
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onAdopted: (generation: number, origin: ConfigurationOrigin) => void;
}

/** Where a configuration came from. */
export type ConfigurationOrigin =
  | "platform"
  | "submission"
  /** A daemon of the same data centre. */
  | "neighbour"
  | "otherDataCentre";

/** Holds the current configuration and replaces it by newer, validated ones. */
export class AdoptedConfiguration implements ConfigurationSource {
  readonly events = new Emittery<ConfigurationEvents>();
  readonly #options: AdoptedConfigurationOptions;
  readonly #history = new DeltaHistory();
  #current: Configuration | undefined;

  constructor(options: AdoptedConfigurationOptions) {
    this.#options = options;
  }

  current(): Configuration | undefined {
    return this.#current;
  }

  /** 0 before the first configuration is adopted. */
  get generation(): number {
    return this.#current?.generation ?? 0;
  }

  /** The deltas since a generation; undefined if they are no longer stored. */
  deltasSince(generation: number): readonly ConfigurationDelta[] | undefined {
    return this.#history.since(generation);
  }

  /** Returns false and changes nothing unless the generation is higher. */
  adopt(configuration: Configuration, origin: ConfigurationOrigin): boolean {
    const { metrics, logger, onAdopted } = this.#options;
    const { generation } = configuration;
    if (generation <= this.generation) {
      metrics.countDrop("staleGeneration");
      return false;
    }
    this.#history.record(this.#current, configuration);
    this.#current = configuration;
    metrics.countEvent(`configurationAdopted.${origin}`);
    metrics.setGauge("configurationGeneration", generation);
    logger.info("configurationAdopted", { generation, origin });
    onAdopted(generation, origin);
    void this.#emit(configuration);
    return true;
  }

  async #emit(configuration: Configuration): Promise<void> {
    try {
      await this.events.emit("adopted", configuration);
    } catch (error) {
      this.#options.logger.error("configurationListenerFailed", {
        generation: configuration.generation,
        error: String(error),
      });
    }
  }
}
