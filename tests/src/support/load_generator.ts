/**
 * An open-loop load generator: sends requests at a given rate, whether or not
 * earlier ones have ended.
 *
 * @module
 */

import { makeMarker } from "@sassafrasstage/stand-ins/backend_servers/expected_output";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { SeededRandom } from "@sassafrasstage/stand-ins/random/seeded_random";
import { setTimeout as sleep } from "node:timers/promises";
import type { LoggedRequest } from "./request_log.js";
import { CLIENT_KEY, type SamplePipeline } from "./sample_plan.js";

export interface LoadOptions {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly pipelines: readonly SamplePipeline[];
  /** VMs that receive requests while they are in service; all by default. */
  readonly vmIds?: readonly string[];
  /** Share of requests whose answer is streamed. */
  readonly streamRatio?: number;
  /** Share of "issue" requests with an `Idempotency-Key`. */
  readonly idempotencyKeyRatio?: number;
  /**
   * Share of requests with an `Idempotency-Key` that are sent a second time at
   * once, through a randomly picked VM.
   */
  readonly duplicateRatio?: number;
}

/**
 * Generates load on a cluster.
 *
 * @example
 * ```ts
 * const load = new LoadGenerator(cluster, { seed: 1, requestsPerSecond: 50, pipelines: ["lookup"] });
 * load.start();
 * const requests = await load.stop();
 * ```
 */
export class LoadGenerator {
  readonly #cluster: Cluster;
  readonly #options: LoadOptions;
  readonly #random: SeededRandom;
  readonly #pending = new Set<Promise<void>>();
  readonly #finished: LoggedRequest[] = [];
  #sentCount = 0;
  #isStopped = false;
  #loop: Promise<void> | undefined;

  constructor(cluster: Cluster, options: LoadOptions) {
    this.#cluster = cluster;
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  get finished(): readonly LoggedRequest[] {
    return this.#finished;
  }

  start(): void {
    this.#loop = this.#run();
  }

  /** Stops sending and waits until all requests have ended. */
  async stop(): Promise<readonly LoggedRequest[]> {
    this.#isStopped = true;
    await this.#loop;
    await Promise.all(this.#pending);
    return this.#finished;
  }

  async #run(): Promise<void> {
    let nextAtMs = performance.now();
    while (!this.#isStopped) {
      this.#sendOne();
      nextAtMs += this.#random.nextArrivalMs(this.#options.requestsPerSecond);
      const waitMs = nextAtMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
    }
  }

  #sendOne(): void {
    const { seed, pipelines, streamRatio, idempotencyKeyRatio } = this.#options;
    this.#sentCount++;
    const pipeline = this.#random.pick(pipelines);
    const isStreamed = this.#random.nextBoolean(streamRatio ?? 0);
    const isKeyed = this.#random.nextBoolean(idempotencyKeyRatio ?? 0) &&
      pipeline === "issue";
    const vmId = this.#pickVm();
    if (vmId === undefined) return;
    const options: RequestOptions = {
      marker: makeMarker(`${seed}-${this.#sentCount}`),
      pipeline,
      vmId,
      isStreamed,
      ...(isKeyed ? { idempotencyKey: `key-${seed}-${this.#sentCount}` } : {}),
    };
    this.#send(options);
    const isDuplicated = isKeyed &&
      this.#random.nextBoolean(this.#options.duplicateRatio ?? 0);
    const otherVmId = isDuplicated ? this.#pickVm() : undefined;
    if (otherVmId !== undefined) this.#send({ ...options, vmId: otherVmId });
  }

  #send(options: RequestOptions): void {
    const sending = sendRequest(this.#cluster, options).then((request) => {
      this.#finished.push(request);
      this.#pending.delete(sending);
    });
    this.#pending.add(sending);
  }

  #pickVm(): string | undefined {
    const vmIds = this.#cluster.daemons
      .filter((daemon) => daemon.isInService)
      .map((daemon) => daemon.vmId)
      .filter((vmId) => this.#options.vmIds?.includes(vmId) ?? true);
    return vmIds.length === 0 ? undefined : this.#random.pick(vmIds);
  }
}

export interface RequestOptions {
  readonly marker: string;
  readonly pipeline: SamplePipeline;
  readonly vmId: string;
  readonly isStreamed?: boolean;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

/** Sends one request and returns it with its result. */
export async function sendRequest(
  cluster: Cluster,
  options: RequestOptions,
): Promise<LoggedRequest> {
  const { marker, pipeline, vmId, idempotencyKey, deadlineMs } = options;
  const input = `${marker} please`;
  const sentAtMs = Date.now();
  const result = await cluster.caller.send(cluster.daemon(vmId).httpUrl, {
    pipeline,
    key: CLIENT_KEY,
    input,
    isStreamed: options.isStreamed ?? false,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(deadlineMs === undefined ? {} : { deadlineMs }),
  });
  return {
    marker,
    pipeline,
    input,
    vmId,
    sentAtMs,
    result,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  };
}
