/**
 * Monitors the generation in force at each daemon, which must never decrease.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { DaemonHandle } from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import { setTimeout as sleep } from "node:timers/promises";
import { readStatus } from "./daemon_status.js";

const POLL_INTERVAL_MS = 50;
const STATUS_TIMEOUT_MS = 500;

interface ObservedGeneration {
  readonly incarnation: string;
  readonly generation: number;
}

/** Polls the generation of every daemon. */
export class GenerationWatch {
  readonly #cluster: Cluster;
  readonly #lastObserved = new Map<string, ObservedGeneration>();
  readonly #rollbacks: string[] = [];
  #isStopped = false;
  #loops: readonly Promise<void>[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  start(): void {
    this.#loops = this.#cluster.daemons.map((daemon) => this.#poll(daemon));
  }

  /** Stops polling and returns a message for each decrease that was observed. */
  async stop(): Promise<readonly string[]> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
    return this.#rollbacks;
  }

  async #poll(daemon: DaemonHandle): Promise<void> {
    while (!this.#isStopped) {
      await this.#checkGeneration(daemon);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async #checkGeneration(daemon: DaemonHandle): Promise<void> {
    const status = await Promise.race([
      readStatus(daemon).catch(() => undefined),
      sleep(STATUS_TIMEOUT_MS, undefined, { ref: false }),
    ]);
    if (status === undefined) return;
    const { incarnation, generation } = status;
    const previous = this.#lastObserved.get(daemon.vmId);
    // A new process starts without a configuration, which isn't a rollback.
    const isRollback = previous?.incarnation === incarnation &&
      generation < previous.generation;
    if (isRollback) {
      this.#rollbacks.push(
        `${daemon.vmId} went from generation ${previous.generation} back to ${generation}`,
      );
    }
    this.#lastObserved.set(daemon.vmId, { incarnation, generation });
  }
}
