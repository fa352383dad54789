/**
 * Chooses the backend server for the next permit request.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { isCold } from "./backend_server_state.js";
import { IndexedHeap } from "./indexed_heap.js";
import type { PooledServer } from "./pooled_server.js";
import { PrefixMap } from "./prefix_map.js";
import type { WaitingRequest } from "./waiting_request.js";

/** A server that holds the prefix is preferred up to this multiple of the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25;
/**
 * A counter request may warm up a server if its slack exceeds this many times its
 * likely duration, and then only one request in this many does.
 */
const WARM_UP_SLACK_DURATIONS = 3;

export interface ServerSelectorOptions {
  readonly hasPrefixAffinity: boolean;
}

/** Keeps the servers with free slots, least loaded first. Each choice costs O(log n). */
export class ServerSelector {
  readonly #warm = new IndexedHeap<PooledServer>(compareLoad);
  readonly #cold = new IndexedHeap<PooledServer>(compareLoad);
  readonly #prefixes: PrefixMap | undefined;
  readonly #servers = new Map<BackendServerId, PooledServer>();
  #inFlight = 0;

  constructor(options: ServerSelectorOptions) {
    this.#prefixes = options.hasPrefixAffinity ? new PrefixMap() : undefined;
  }

  get hasFreeSlot(): boolean {
    return this.#warm.size + this.#cold.size > 0;
  }

  /** Must be called after any change to the server. */
  update(server: PooledServer): void {
    this.#warm.remove(server);
    this.#cold.remove(server);
    this.#servers.set(server.id, server);
    if (server.inFlight >= server.limit) return;
    (isCold(server.health.state) ? this.#cold : this.#warm).add(server);
  }

  remove(server: PooledServer): void {
    this.#warm.remove(server);
    this.#cold.remove(server);
    this.#servers.delete(server.id);
  }

  choose(waiting: WaitingRequest, nowMs: number): PooledServer | undefined {
    const preferred = this.#preferredByPrefix(waiting);
    if (preferred !== undefined) return preferred;
    const chosen = mayWarmUp(waiting, nowMs)
      ? this.#first(this.#cold, waiting) ?? this.#first(this.#warm, waiting)
      : this.#first(this.#warm, waiting) ?? this.#first(this.#cold, waiting);
    if (chosen !== undefined && waiting.permitRequest.prefixKey !== undefined) {
      this.#prefixes?.recordServer(waiting.permitRequest.prefixKey, chosen.id);
    }
    return chosen;
  }

  setTotalInFlight(total: number): void {
    this.#inFlight = total;
  }

  #preferredByPrefix(waiting: WaitingRequest): PooledServer | undefined {
    const { prefixKey, excluded } = waiting.permitRequest;
    if (prefixKey === undefined) return undefined;
    const id = this.#prefixes?.serverFor(prefixKey);
    const server = id === undefined ? undefined : this.#servers.get(id);
    if (server === undefined || !this.#warm.has(server)) return undefined;
    if (excluded.includes(server.id)) return undefined;
    const meanLoad = (this.#inFlight + 1) / Math.max(1, this.#servers.size);
    const bound = Math.ceil(meanLoad * AFFINITY_LOAD_FACTOR);
    return server.inFlight < bound ? server : undefined;
  }

  #first(
    heap: IndexedHeap<PooledServer>,
    waiting: WaitingRequest,
  ): PooledServer | undefined {
    const skipped: PooledServer[] = [];
    let found: PooledServer | undefined;
    for (;;) {
      found = heap.first();
      if (found === undefined) break;
      if (!waiting.permitRequest.excluded.includes(found.id)) break;
      heap.remove(found);
      skipped.push(found);
    }
    for (const server of skipped) heap.add(server);
    return found;
  }
}

/** Cold servers are slow, so only requests with enough time prefer them to warm ones. */
function mayWarmUp(waiting: WaitingRequest, nowMs: number): boolean {
  if (waiting.permitRequest.urgency === "deferrable") return true;
  const slackMs = waiting.latestStartAtMs - nowMs;
  return slackMs >
      WARM_UP_SLACK_DURATIONS * waiting.permitRequest.likelyDurationMs &&
    waiting.number % WARM_UP_SLACK_DURATIONS === 0;
}

function compareLoad(first: PooledServer, second: PooledServer): number {
  return first.inFlight / first.limit - second.inFlight / second.limit ||
    first.lastGrantNumber - second.lastGrantNumber;
}
