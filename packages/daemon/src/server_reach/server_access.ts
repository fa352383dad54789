/**
 * Connects the parts that call backend servers, directly or by way of peers.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { ServerCaller } from "../forwarding/server_caller.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { RunningPeerNetwork } from "../peers/running_peer_network.js";
import type { RolloutGate } from "../rollouts/rollout_gate.js";
import type { ServerNotices } from "../register/server_notices.js";
import type {
  RegisterChange,
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { ServerLoads } from "../server_load/server_loads.js";
import type { BatchCaller } from "../stage_graphs/batch_caller.js";
import { CallSilence } from "./call_silence.js";
import { ObservedBatchCaller } from "./observed_batch_caller.js";
import { ObservedServerCaller } from "./observed_server_caller.js";
import { ReachInquiry } from "./reach_inquiry.js";
import { ReachProber } from "./reach_prober.js";
import { RelayedCallClient } from "./relayed_call_client.js";
import { RelayedCallServer } from "./relayed_call_server.js";
import { RelayingServerCaller } from "./relaying_server_caller.js";
import { RelayPeers } from "./relay_peers.js";
import { ServerReach } from "./server_reach.js";
import { probeConnection } from "./tcp_probe.js";

export interface ServerAccessOptions {
  readonly network: RunningPeerNetwork;
  readonly register: ServerRegister;
  readonly serverNotices: ServerNotices;
  readonly serverLoads: ServerLoads;
  readonly serverCaller: ServerCaller;
  readonly batchCaller: BatchCaller;
  readonly connectionShare: (service: ServiceName) => number;
  /** Absent where rollouts of versions aren't supervised. */
  readonly rollouts?: RolloutGate | undefined;
  /** Whether this process is shutting down. */
  readonly isLeaving: () => boolean;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** The path to the server has changed; failures so far were the path's. */
  readonly onPathChanged: (server: RegisteredServer) => void;
  /** Open connections to the server may be dead. */
  readonly onCutOff: (server: RegisteredServer) => void;
  /** The VM now reaches a server of other services than before. */
  readonly onCutOffServicesChanged: () => void;
}

export class ServerAccess {
  readonly serverCaller: ServerCaller;
  readonly batchCaller: BatchCaller;
  readonly #reach: ServerReach;
  readonly #prober: ReachProber;
  readonly #relayedCalls: RelayedCallServer;

  constructor(options: ServerAccessOptions) {
    const { network, register, clock, metrics, logger } = options;
    const probe = probeConnection;
    const random = Math.random;
    const silence = new CallSilence();
    const peers = new RelayPeers({ network, clock, random });
    const reach = new ServerReach({
      register,
      clock,
      metrics,
      logger,
      onSuspected: (server) => {
        this.#prober.handleSuspected(server);
      },
      onCutOff: (server) => {
        options.onCutOff(server);
        options.onPathChanged(server);
        this.#prober.handleCutOff();
      },
      onReturned: (server) => {
        options.onPathChanged(server);
        this.#prober.handleReturned();
      },
      onCutOffServicesChanged: (services) => {
        network.setCutOffServices(services);
        options.onCutOffServicesChanged();
      },
    });
    this.#reach = reach;
    this.#prober = new ReachProber({
      reach,
      register,
      silence,
      probe,
      clock,
      inquiry: new ReachInquiry({
        network,
        peers,
        register,
        reach,
        probe,
        clock,
      }),
    });
    const direct = new ObservedServerCaller({
      caller: options.serverCaller,
      reach,
      silence,
      clock,
      onBroken: ({ server }) => {
        this.#prober.handleBroken(server);
      },
    });
    this.serverCaller = new RelayingServerCaller({
      direct,
      relay: new RelayedCallClient({ network, peers, metrics, logger }),
      peers,
      reach,
      clock,
      random,
      onUnreachedByPeer: (server) => {
        this.#prober.handleUnreachedByPeer(server);
      },
    });
    this.batchCaller = new ObservedBatchCaller({
      caller: options.batchCaller,
      reach,
      silence,
      clock,
    });
    this.#relayedCalls = new RelayedCallServer({
      ...options,
      reach,
      caller: direct,
    });
    network.setRelaysCalls();
  }

  /** Number of calls in progress that this VM makes for others. */
  get callsForPeers(): number {
    return this.#relayedCalls.runCount;
  }

  handleServerChange({ kind, server }: RegisterChange): void {
    switch (kind) {
      case "added":
        this.#prober.handleAdded(server);
        return;
      case "ended":
        this.#prober.forget(server.id);
        this.#reach.forget(server.id);
        return;
      case "updated":
        return;
    }
  }

  close(): void {
    this.#prober.close();
  }
}
