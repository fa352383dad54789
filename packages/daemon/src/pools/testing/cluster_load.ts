/**
 * Generates calls from the nodes of an in-memory cluster to fake servers.
 *
 * @module
 */

import type { Permit, PermitDecision } from "@sassafrasstage/protocol/permits";
import { FakeServer } from "./fake_server.js";
import type { ClusterNode, InMemoryCluster } from "./in_memory_cluster.js";
import {
  makePermitRequest,
  type TestPermitRequest,
} from "./test_configuration.js";

const CALL_MS = 50;
/** Time from the grant to the arrival of the call at the server. */
const SEND_DELAY_MS = 5;

export interface CallCounts {
  requested: number;
  granted: number;
  completed: number;
  refused: number;
  /** Permits that were no longer valid when the call was about to be sent. */
  expiredPermits: number;
}

/** Makes calls and counts their outcomes. */
export class ClusterLoad {
  readonly counts: CallCounts = {
    requested: 0,
    granted: 0,
    completed: 0,
    refused: 0,
    expiredPermits: 0,
  };
  readonly #cluster: InMemoryCluster;
  readonly #servers = new Map<string, FakeServer>();
  /** The requesting node of each permit request without a decision. */
  readonly #waiting: ClusterNode[] = [];

  constructor(cluster: InMemoryCluster, callMs = CALL_MS) {
    this.#cluster = cluster;
    const { register } = cluster.configuration;
    for (const registered of register.backendServers) {
      const service = register.services[0];
      if (service === undefined) continue;
      this.#servers.set(
        registered.id,
        new FakeServer({ ...service, callMs }),
      );
    }
  }

  /** Permit requests of running nodes that were neither granted nor refused. */
  get unanswered(): number {
    return this.#waiting.filter((node) => node.isRunning).length;
  }

  get overLimitCalls(): number {
    return [...this.#servers.values()]
      .reduce((sum, server) => sum + server.overLimitCalls, 0);
  }

  server(id: string): FakeServer {
    const server = this.#servers.get(id);
    if (server === undefined) throw new Error(`Unknown server "${id}"`);
    return server;
  }

  /** Requests a permit on the node, calls the server and releases the permit. */
  call(node: ClusterNode, permitRequest: TestPermitRequest = {}): void {
    if (!node.isRunning) return;
    this.counts.requested += 1;
    this.#waiting.push(node);
    void node.permits.acquire(
      makePermitRequest(permitRequest),
      new AbortController().signal,
    )
      .then((decision) => {
        this.#waiting.splice(this.#waiting.indexOf(node), 1);
        this.#handleDecision(node, decision);
      });
  }

  /** Starts a call on each running node every `everyMs`. */
  async run(
    durationMs: number,
    load: {
      readonly everyMs: number;
      readonly permitRequest?: TestPermitRequest;
    },
  ): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += load.everyMs) {
      for (const node of this.#cluster.nodes) {
        this.call(node, load.permitRequest);
      }
      await this.#cluster.advance(load.everyMs);
    }
  }

  #handleDecision(node: ClusterNode, decision: PermitDecision): void {
    if (decision.kind === "refused") {
      this.counts.refused += 1;
      return;
    }
    this.counts.granted += 1;
    this.#cluster.after(SEND_DELAY_MS, () => {
      this.#cluster.whenRunning(node, () => {
        this.#send(node, decision.permit);
      });
    });
  }

  #send(node: ClusterNode, permit: Permit): void {
    if (!node.permits.isPermitValid(permit, this.#cluster.nowMs)) {
      this.counts.expiredPermits += 1;
      this.#release(node, permit, "notSent");
      return;
    }
    const server = this.server(permit.backendServerId);
    const call = server.start(this.#cluster.nowMs);
    if (call === undefined) {
      this.#release(node, permit, "refusedByServer");
      return;
    }
    this.#cluster.after(server.callMs, () => {
      server.end(call);
      this.#cluster.whenRunning(node, () => {
        this.counts.completed += 1;
        this.#release(node, permit, "completed");
      });
    });
  }

  #release(
    node: ClusterNode,
    permit: Permit,
    outcome: "completed" | "notSent" | "refusedByServer",
  ): void {
    node.permits.release(permit, {
      permitId: permit.permitId,
      backendServerId: permit.backendServerId,
      outcome,
      durationMs: CALL_MS,
    });
  }
}
