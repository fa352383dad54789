/**
 * The `baseline` policy, for comparison with `current`: each daemon grants
 * permits without coordinating with the others, first come, first served, in
 * round robin over the in-service backend servers of all data centres. Cold
 * servers are treated like warm ones.
 *
 * @module
 */

import {
  type BackendServerId,
  type PermitId,
  type PoolId,
  type ServiceName,
  toId,
} from "@sassafrasstage/protocol/ids";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";
import type { PoolStatus } from "@sassafrasstage/protocol/status";
import type { HeartbeatContent } from "../peers/heartbeat_content.js";
import { LayoutCache } from "./layout_cache.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";
import type {
  PermitSourceOptions,
  RunningPermitSource,
} from "./running_permit_source.js";

const RETRY_AFTER_MS = 250;

interface WaitingRequest {
  readonly permitRequest: PermitRequest;
  readonly deadlineAtMs: number;
  readonly settle: (decision: PermitDecision) => void;
}

interface ServerSlot {
  readonly entry: PoolEntry;
  readonly backendServerId: BackendServerId;
}

class BaselinePermitSource implements RunningPermitSource {
  readonly heartbeatContent: HeartbeatContent = {
    ownedPools: () => [],
    supportFor: () => [],
    onReply: () => undefined,
  };
  readonly #options: PermitSourceOptions;
  readonly #layouts: LayoutCache;
  readonly #inFlight = new Map<BackendServerId, number>();
  readonly #queues = new Map<ServiceName, WaitingRequest[]>();
  readonly #deadlinesAtMs = new Map<PermitId, number>();
  readonly #timers = new Set<NodeJS.Timeout>();
  #nextServerIndex = 0;
  #permitNumber = 0;

  constructor(options: PermitSourceOptions) {
    this.#options = options;
    this.#layouts = new LayoutCache(options);
  }

  acquire(
    permitRequest: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitDecision> {
    const queue = this.#queueOf(permitRequest.pool.service);
    if (signal.aborted) {
      return Promise.resolve(makeRefusal("callerDisconnected", "Canceled"));
    }
    if (queue.length >= this.#options.settings.pools.max_queue_length) {
      return Promise.resolve(makeRefusal("queueFull", "The queue is full"));
    }
    return new Promise((resolve) => {
      const deadlineAtMs = this.#options.clock.nowMs() +
        permitRequest.deadlineInMs;
      const waiting: WaitingRequest = {
        permitRequest,
        deadlineAtMs,
        settle: (decision) => {
          clearTimeout(timer);
          this.#timers.delete(timer);
          resolve(decision);
        },
      };
      const timer = setTimeout(() => {
        this.#settleWaiting(
          waiting,
          makeRefusal("deadlineExceeded", "No slot in time"),
        );
      }, permitRequest.deadlineInMs);
      this.#timers.add(timer);
      signal.addEventListener("abort", () => {
        this.#settleWaiting(
          waiting,
          makeRefusal("callerDisconnected", "Canceled"),
        );
      }, { once: true });
      queue.push(waiting);
      this.#grantWaiting(permitRequest.pool.service);
    });
  }

  /** Does nothing: this policy doesn't detect cold starts. */
  recordFirstToken(): void {
    return;
  }

  release(permit: Permit, release: PermitRelease): void {
    if (!this.#deadlinesAtMs.delete(permit.permitId)) return;
    const id = release.backendServerId;
    this.#inFlight.set(id, Math.max(0, (this.#inFlight.get(id) ?? 0) - 1));
    this.#grantWaiting(permit.pool.service);
  }

  isPermitValid(permit: Permit, nowMs: number): boolean {
    return nowMs < (this.#deadlinesAtMs.get(permit.permitId) ?? 0);
  }

  candidatePools(service: ServiceName): PoolId[] {
    const entries = this.#layouts.layout().poolsByService.get(service) ?? [];
    return entries
      .filter((entry) => this.#usableServers(entry).length > 0)
      .map((entry) => entry.pool)
      .slice(0, 1);
  }

  statuses(): PoolStatus[] {
    const layout = this.#layouts.layout();
    return [...layout.pools.values()].map((entry) => ({
      pool: entry.pool,
      isOwnedHere: false,
      isDataCentreOut: layout.dataCentresOut.has(entry.pool.dataCentre),
      queueLength: this.#queues.get(entry.pool.service)?.length ?? 0,
      coldGrants: "allowed",
      backendServers: [],
    }));
  }

  startLeaving(): void {
    // Without shared ownership there is nothing to hand over.
  }

  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const queue of this.#queues.values()) {
      for (const waiting of queue.splice(0)) {
        waiting.settle(makeRefusal("shuttingDown", "The daemon stops"));
      }
    }
  }

  #queueOf(service: ServiceName): WaitingRequest[] {
    const queue = this.#queues.get(service) ?? [];
    this.#queues.set(service, queue);
    return queue;
  }

  /** Removes the permit request from its queue and settles it, if it still waits. */
  #settleWaiting(waiting: WaitingRequest, decision: PermitDecision): void {
    const queue = this.#queueOf(waiting.permitRequest.pool.service);
    const index = queue.indexOf(waiting);
    if (index < 0) return;
    queue.splice(index, 1);
    waiting.settle(decision);
  }

  #grantWaiting(service: ServiceName): void {
    const queue = this.#queueOf(service);
    for (;;) {
      const first = queue[0];
      if (first === undefined) return;
      const slot = this.#nextSlot(first.permitRequest);
      if (slot === undefined) return;
      this.#settleWaiting(first, this.#grant(first, slot));
    }
  }

  #nextSlot(permitRequest: PermitRequest): ServerSlot | undefined {
    const entries =
      this.#layouts.layout().poolsByService.get(permitRequest.pool.service) ??
        [];
    const slots = entries.flatMap((entry) => this.#usableServers(entry));
    for (let offset = 0; offset < slots.length; offset++) {
      const slot = slots[(this.#nextServerIndex + offset) % slots.length];
      if (slot === undefined) continue;
      if (permitRequest.excluded.includes(slot.backendServerId)) continue;
      const inFlight = this.#inFlight.get(slot.backendServerId) ?? 0;
      if (inFlight >= slot.entry.service.warmLimit) continue;
      this.#nextServerIndex += offset + 1;
      return slot;
    }
    return undefined;
  }

  #usableServers(entry: PoolEntry): ServerSlot[] {
    const layout = this.#layouts.layout();
    const vms = this.#layouts.vms();
    return entry.servers
      .filter((server) => availabilityOf(server, layout, vms) === "inService")
      .map((server) => ({ entry, backendServerId: server.id }));
  }

  #grant(waiting: WaitingRequest, slot: ServerSlot): PermitDecision {
    this.#permitNumber += 1;
    const { vmId, incarnation } = this.#options.network.self;
    const permitId = toId<PermitId>(
      `${vmId}/${incarnation}/${this.#permitNumber}`,
    );
    const id = slot.backendServerId;
    this.#inFlight.set(id, (this.#inFlight.get(id) ?? 0) + 1);
    this.#deadlinesAtMs.set(permitId, waiting.deadlineAtMs);
    return {
      kind: "granted",
      permit: {
        permitId,
        attemptId: waiting.permitRequest.attemptId,
        pool: slot.entry.pool,
        backendServerId: id,
        warmUpState: "warm",
      },
    };
  }
}

function makeRefusal(
  reason:
    | "queueFull"
    | "deadlineExceeded"
    | "callerDisconnected"
    | "shuttingDown",
  detail: string,
): PermitDecision {
  return { kind: "refused", reason, detail, retryAfterMs: RETRY_AFTER_MS };
}

/**
 * Makes the permit source of the `baseline` policy.
 *
 * @example
 * ```ts
 * const permits = createBaselinePermitSource(options);
 * const decision = await permits.acquire(permitRequest, signal);
 * ```
 */
export function createBaselinePermitSource(
  options: PermitSourceOptions,
): RunningPermitSource {
  return new BaselinePermitSource(options);
}
