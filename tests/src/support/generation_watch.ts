/**
 * Watches the generation in force at each daemon, which may only rise.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { DaemonHandle } from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import { setTimeout as sleep } from "node:timers/promises";
import { readStatus } from "./daemon_status.js";

const INTERVAL_MS = 50;
const CALL_TIMEOUT_MS = 500;

interface SeenGeneration {
  readonly incarnation: string;
  readonly generation: number;
}

/** Reads every daemon's generation again and again. */
export class GenerationWatch {
  readonly #cluster: Cluster;
  readonly #seen = new Map<string, SeenGeneration>();
  readonly #reversions: string[] = [];
  #isStopped = false;
  #loops: readonly Promise<void>[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  start(): void {
    this.#loops = this.#cluster.daemons.map((daemon) => this.#follow(daemon));
  }

  /** The reversions that were seen, in words. */
  async stop(): Promise<readonly string[]> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
    return this.#reversions;
  }

  async #follow(daemon: DaemonHandle): Promise<void> {
    while (!this.#isStopped) {
      await this.#look(daemon);
      await sleep(INTERVAL_MS);
    }
  }

  async #look(daemon: DaemonHandle): Promise<void> {
    const status = await Promise.race([
      readStatus(daemon).catch(() => undefined),
      sleep(CALL_TIMEOUT_MS, undefined, { ref: false }),
    ]);
    if (status === undefined) return;
    const { incarnation, generation } = status;
    const before = this.#seen.get(daemon.vmId);
    // A new process starts without any: that isn't a reversion.
    const isReversion = before?.incarnation === incarnation &&
      generation < before.generation;
    if (isReversion) {
      this.#reversions.push(
        `${daemon.vmId} went from ${before.generation} to ${generation}`,
      );
    }
    this.#seen.set(daemon.vmId, { incarnation, generation });
  }
}
