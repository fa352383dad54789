/**
 * Manages this daemon's configuration: adopts accepted configurations, shares
 * them with the other daemons, and submits operators' changes.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { Settings } from "../settings/settings.js";
import { AdoptedConfiguration } from "./adopted_configuration.js";
import { describeChange, type HistoryEntry } from "./configuration_head.js";
import type { ConfigurationSource } from "./configuration_source.js";
import { PartReader, readHead } from "./read_configuration.js";
import { ConfigurationSharing } from "./share_configuration.js";
import {
  submitChange,
  type SubmitRequest,
  type SubmitResult,
} from "./submit_change.js";
import { HeadWatch } from "./watch_head.js";

/** Gives peers time to send the configuration before the first read. */
const START_DELAY_MS = 250;

export interface ConfigurationManagerOptions {
  readonly settings: Settings;
  readonly store: ObjectStore;
  readonly network: PeerNetwork & { setGeneration(generation: number): void };
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export interface RunningConfigurationManager extends ConfigurationSource {
  /** Doesn't reject on platform failures; the result reports them. */
  submit(request: SubmitRequest): Promise<SubmitResult>;
  /**
   * The most recent accepted changes, newest first. Rejects with a
   * `ConfigurationError` when the platform can't be read.
   */
  history(): Promise<HistoryEntry[]>;
  close(): Promise<void>;
}

/**
 * Starts watching the platform and sharing the configuration with peers.
 *
 * @example
 * ```ts
 * const manager = startConfigurationManager({ settings, store, network, ... });
 * manager.events.on("adopted", (configuration) => console.log(configuration));
 * ```
 */
export function startConfigurationManager(
  options: ConfigurationManagerOptions,
): RunningConfigurationManager {
  const { settings, store, network, clock, metrics, logger } = options;
  const adopted = new AdoptedConfiguration({
    metrics,
    logger,
    onAdopted: (generation, origin) => {
      network.setGeneration(generation);
      sharing.announce(origin);
    },
  });
  const partReader = new PartReader(store);
  const common = { network, adopted, clock, metrics, logger };
  const sharing = new ConfigurationSharing(common);
  const startDelayMs = settings.peers.seeds.length > 0 ? START_DELAY_MS : 0;
  const watch = new HeadWatch({
    ...common,
    store,
    partReader,
    startDelayMs,
  });
  return {
    events: adopted.events,
    current: () => adopted.current(),
    submit: (request) =>
      submitChange(request, { store, partReader, adopted, metrics, logger }),
    history: async () => {
      const head = await readHead(store);
      return (head?.head.changes ?? []).map(describeChange);
    },
    close: async () => {
      sharing.close();
      await watch.close();
    },
  };
}
