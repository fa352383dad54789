/**
 * Reads accepted configurations from the platform: one or two daemons of each
 * data centre watch the head, the others poll it at a low rate.
 *
 * @module
 */

import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectStore } from "../platform/object_store.js";
import {
  provenRevision,
  type WatchPosition,
} from "../platform/watch_position.js";
import type { AdoptedConfiguration } from "./adopted_configuration.js";
import { chooseWatchers, listLiveLocalDaemons } from "./choose_watchers.js";
import { HEAD_KEY, type StoredHead } from "./configuration_head.js";
import {
  type PartReader,
  readHead,
  toConfiguration,
  toStoredHead,
} from "./read_configuration.js";

/** How long the platform keeps a watch call open while there are no events. */
const WATCH_WAIT_MS = 2500;
/** Average interval between polls by all daemons of a data centre together. */
const POLL_INTERVAL_MS = 2000;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 3000;

export interface HeadWatchOptions {
  readonly store: ObjectStore;
  readonly partReader: PartReader;
  readonly network: PeerNetwork;
  readonly adopted: AdoptedConfiguration;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Gives peers time to send the configuration before the first read. */
  readonly startDelayMs: number;
}

/** Background task that watches or polls the head until it is closed. */
export class HeadWatch {
  readonly #options: HeadWatchOptions;
  readonly #abort = new AbortController();
  readonly #finished: Promise<void>;
  /** Where the watch resumes; undefined when the head has to be listed. */
  #position: WatchPosition | undefined;
  #failures = 0;
  /** Ends the current delay early. */
  #delayAbort: AbortController | undefined;

  constructor(options: HeadWatchOptions) {
    this.#options = options;
    this.#finished = this.#run();
  }

  async close(): Promise<void> {
    this.#abort.abort();
    this.#delayAbort?.abort();
    await this.#finished;
  }

  async #run(): Promise<void> {
    const { network } = this.#options;
    const unsubscribe = network.lifecycle.on("membershipChanged", () => {
      if (this.#isWatcher()) this.#delayAbort?.abort();
    });
    await this.#delay(this.#options.startDelayMs);
    while (!this.#abort.signal.aborted) await this.#step();
    unsubscribe();
  }

  async #step(): Promise<void> {
    try {
      if (this.#isWatcher()) await this.#watch();
      else await this.#poll();
      this.#failures = 0;
    } catch (error) {
      if (this.#abort.signal.aborted) return;
      this.#recordFailure(error);
      await this.#delay(jitter(retryDelayMs(this.#failures)));
    }
  }

  #isWatcher(): boolean {
    const { network, clock } = this.#options;
    return chooseWatchers(network.view(clock.nowMs()))
      .includes(network.self.vmId);
  }

  async #watch(): Promise<void> {
    const { store } = this.#options;
    const start = this.#position ?? await this.#list();
    const result = await store.watch(
      { prefix: HEAD_KEY, afterRevision: start.after, waitMs: WATCH_WAIT_MS },
      this.#abort.signal,
    );
    if (result.kind === "tooOld") {
      this.#options.metrics.countEvent("configurationWatchTooOld");
      this.#position = undefined;
      return;
    }
    const { answer } = result;
    for (const event of answer.events) {
      if (event.kind === "updated") await this.#adoptObject(event.object);
    }
    this.#position = {
      after: provenRevision(start, answer),
      reached: Math.max(start.reached, answer.revision),
    };
  }

  async #list(): Promise<WatchPosition> {
    const listing = await this.#options.store.list(HEAD_KEY);
    for (const object of listing.objects) await this.#adoptObject(object);
    const { revision } = listing;
    const position = { after: revision, reached: revision };
    this.#position = position;
    return position;
  }

  async #poll(): Promise<void> {
    const { network, clock, store } = this.#options;
    this.#position = undefined;
    const localDaemonCount =
      listLiveLocalDaemons(network.view(clock.nowMs())).length;
    await this.#delay(jitter(POLL_INTERVAL_MS * localDaemonCount));
    if (this.#abort.signal.aborted || this.#isWatcher()) return;
    const head = await readHead(store);
    if (head !== undefined) await this.#adoptHead(head);
  }

  async #adoptObject(object: StoredObject): Promise<void> {
    if (object.key === HEAD_KEY) await this.#adoptHead(toStoredHead(object));
  }

  async #adoptHead(head: StoredHead): Promise<void> {
    const { adopted, partReader } = this.#options;
    if (head.accepted.generation <= adopted.generation) return;
    const parts = await partReader.read(head.accepted);
    const { generation } = head.accepted;
    adopted.adopt(toConfiguration(parts, generation), "platform");
  }

  #recordFailure(error: unknown): void {
    const { metrics, logger } = this.#options;
    this.#failures += 1;
    metrics.countEvent("configurationReadFailed");
    const fields = { failures: this.#failures, error: String(error) };
    if (this.#failures === 1) logger.warn("configurationReadFailed", fields);
    else logger.debug("configurationReadFailed", fields);
  }

  /** Ends early on close and when this daemon becomes a watcher. */
  async #delay(ms: number): Promise<void> {
    if (this.#abort.signal.aborted) return;
    const delayAbort = new AbortController();
    this.#delayAbort = delayAbort;
    const { signal } = delayAbort;
    await sleep(ms, undefined, { signal }).catch(() => undefined);
    this.#delayAbort = undefined;
  }
}

function retryDelayMs(failures: number): number {
  return Math.min(
    MAX_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1),
  );
}

function jitter(ms: number): number {
  return ms * (0.75 + 0.5 * Math.random());
}
