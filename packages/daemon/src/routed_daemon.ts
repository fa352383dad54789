/**
 * Connects the components of a daemon that serves pass-through routes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Incarnation, toId } from "@sassafrasstage/protocol/ids";
import type { Readiness } from "@sassafrasstage/protocol/status";
import { MONOTONIC_CLOCK } from "./clock.js";
import { Deployment } from "./deployment/deployment.js";
import type { DeploymentObjectFormat } from "./deployment/deployment_object_format.js";
import { RequestForwarder } from "./forwarding/request_forwarder.js";
import { RouteStatistics } from "./forwarding/route_statistics.js";
import type { ServerCaller } from "./forwarding/server_caller.js";
import type { Shutdown } from "./forwarding/shutdown_admission.js";
import type { BufferAccount } from "./memory/buffer_account.js";
import { readProcessorUseMs, VmAdmission } from "./forwarding/vm_admission.js";
import {
  EventLoopMonitor,
  SAMPLE_INTERVAL_MS,
} from "./observability/event_loop_monitor.js";
import type { LatencyRecords } from "./observability/latency_records.js";
import type { Logger } from "./observability/logger.js";
import type { Metrics } from "./observability/metrics.js";
import {
  OverloadPolicy,
  type OverloadPolicyName,
} from "./overload/overload_policy.js";
import type { RunningPeerNetwork } from "./peers/running_peer_network.js";
import { startPeerNetwork } from "./peers/start_peer_network.js";
import {
  ServerDirectory,
  type SharedLimits,
} from "./placement/server_directory.js";
import type { StatusStore } from "./platform/object_store.js";
import { PoisonParts } from "./poison_parts/poison_parts.js";
import { ServerRateLimits } from "./rate_limits/server_rate_limits.js";
import { ServerAccess } from "./server_reach/server_access.js";
import {
  EngineMemories,
  type EngineReporter,
} from "./server_load/engine_memories.js";
import { ServerLoads } from "./server_load/server_loads.js";
import { ServerNotices } from "./register/server_notices.js";
import type {
  RegisterChange,
  RegisteredServer,
} from "./register/server_register.js";
import type { ExposureSettings } from "./rollouts/rollout_request.js";
import { Rollouts } from "./rollouts/rollouts.js";
import type { RouteTable } from "./routing/route_table.js";
import type { Settings } from "./settings/settings.js";
import type { BatchCaller } from "./stage_graphs/batch_caller.js";
import { StageCoordinator } from "./stage_graphs/stage_coordinator.js";
import { StageGraphClient } from "./stage_graphs/stage_graph_client.js";
import { ServedVersions } from "./stream_versions/served_versions.js";
import { StreamVersions } from "./stream_versions/stream_versions.js";

export interface RoutedDaemonOptions {
  readonly settings: Settings;
  readonly store: StatusStore;
  readonly objectFormat: DeploymentObjectFormat;
  readonly serverCaller: ServerCaller;
  readonly batchCaller: BatchCaller;
  /** Read at each use, as the settings may change. */
  readonly limits: () => SharedLimits;
  /** Undefined where rollouts of versions aren't supervised. */
  readonly exposure?: ExposureSettings | undefined;
  /** Whether model engines may crash for lack of memory; read at each use. */
  readonly accountsEngineMemory?: () => boolean;
  readonly fetchEngineReport?: EngineReporter;
  /** Processor capacity of this VM, in cores. */
  readonly processorCores: number;
  /** Maximum number of items of all stages of one request. */
  readonly maxStageItems?: number;
  /** Policy at the start; `legacy` by default. */
  readonly overloadPolicy?: OverloadPolicyName | undefined;
  /** All bytes that are buffered for others. */
  readonly buffers: BufferAccount;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
  readonly logger: Logger;
  readonly onRoutes: (table: RouteTable) => void;
  readonly onServerEnded: (server: RegisteredServer) => void;
  /** Open connections to the server may be dead. */
  readonly onServerCutOff: (server: RegisteredServer) => void;
}

const DEFAULT_MAX_STAGE_ITEMS = 4096;
/** Time during which new connections may still arrive after readiness ends. */
const ACCEPT_CONNECTIONS_MS = 3500;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Serves pass-through routes; one instance per process. */
export class RoutedDaemon {
  readonly forwarder: RequestForwarder;
  readonly #options: RoutedDaemonOptions;
  readonly #network: RunningPeerNetwork;
  readonly #deployment: Deployment;
  readonly #directory: ServerDirectory;
  readonly #rateLimits: ServerRateLimits;
  readonly #serverNotices: ServerNotices;
  readonly #serverLoads: ServerLoads;
  readonly #serverAccess: ServerAccess;
  readonly #servedVersions: ServedVersions;
  readonly #streamVersions: StreamVersions;
  readonly #rollouts: Rollouts | undefined;
  readonly #coordinator: StageCoordinator;
  readonly #graphs: StageGraphClient;
  readonly #eventLoop: EventLoopMonitor;
  readonly #overloadPolicy: OverloadPolicy;
  /** Set when shutdown starts. */
  #shutdown: Shutdown | undefined;

  private constructor(
    options: RoutedDaemonOptions,
    network: RunningPeerNetwork,
  ) {
    const clock = MONOTONIC_CLOCK;
    const { settings, metrics, latencies, logger } = options;
    this.#options = options;
    this.#overloadPolicy = new OverloadPolicy(options.overloadPolicy, logger);
    this.#network = network;
    this.#deployment = new Deployment({
      ...options,
      rollouts: options.exposure === undefined ? undefined : {
        applyObject: (object) => this.#rollouts?.applyObject(object),
        removeObject: (object) => this.#rollouts?.removeObject(object),
        handleEraChange: () => this.#rollouts?.handleEraChange(),
      },
      network,
      clock,
      self: {
        vmId: settings.vm.id,
        dataCentre: settings.vm.data_centre,
        role: "entry",
        state: "live",
        peerAddress: `${network.address.host}:${network.address.port}`,
        processorCores: options.processorCores,
      },
      onServerChange: (change) => {
        this.#onServerChange(change);
      },
    });
    const findService = (
      name: Parameters<RouteTable["findService"]>[0],
    ): ReturnType<RouteTable["findService"]> =>
      this.#deployment.table?.findService(name);
    this.#rateLimits = new ServerRateLimits({
      network,
      clock,
      metrics,
      logger,
    });
    this.#serverNotices = new ServerNotices({
      register: this.#deployment.register,
      clock,
      metrics,
      logger,
    });
    this.#serverLoads = new ServerLoads({
      onWorkTimeStated: () => {
        this.#overloadPolicy.recordStatedWorkTime("server");
      },
      inFlightOf: (id) => this.#directory.healthOf(id).inFlight,
      clock,
      metrics,
      logger,
    });
    this.#servedVersions = new ServedVersions({
      ...options,
      network,
      register: this.#deployment.register,
      clock,
    });
    const rollouts = options.exposure === undefined ? undefined : new Rollouts({
      ...options,
      exposure: options.exposure,
      network,
      register: this.#deployment.register,
      served: this.#servedVersions,
      era: () => this.#deployment.rolloutEra,
      clock,
    });
    this.#rollouts = rollouts;
    const gate = rollouts?.gate;
    this.#streamVersions = new StreamVersions({
      network,
      register: this.#deployment.register,
      served: this.#servedVersions,
      confirmRegister: () => this.#deployment.confirmRegister(),
      clock,
      metrics,
      logger,
    });
    const poisonParts = new PoisonParts({
      network,
      blocks: this.#deployment.partBlocks,
      clock,
      metrics,
      logger,
    });
    this.#directory = new ServerDirectory({
      clock,
      rateLimits: this.#rateLimits,
      loads: this.#serverLoads,
      memories: new EngineMemories({
        isEnabled: options.accountsEngineMemory ?? (() => false),
        fetchReport: options.fetchEngineReport ??
          (() => Promise.resolve(undefined)),
        inFlightOf: (id) => this.#directory.healthOf(id).inFlight,
        connectionShare: (service) => this.#directory.connectionShare(service),
        vmCount: () => this.#deployment.entryVmCount,
        engineCount: (service) =>
          this.#deployment.register.usableServers(service).length,
        clock,
        metrics,
        logger,
      }),
      register: this.#deployment.register,
      limits: options.limits,
      findService,
      vmCount: () => this.#deployment.entryVmCount,
      ...(gate !== undefined && { rollouts: gate }),
    });
    this.#serverAccess = new ServerAccess({
      ...options,
      rollouts: gate,
      network,
      register: this.#deployment.register,
      serverNotices: this.#serverNotices,
      serverLoads: this.#serverLoads,
      connectionShare: (service) => this.#directory.connectionShare(service),
      isLeaving: () => this.isLeaving,
      clock,
      onPathChanged: (server) => {
        this.#directory.healthOf(server.id).forgetFailures();
      },
      onCutOff: options.onServerCutOff,
      onCutOffServicesChanged: () => {
        this.#graphs.handleReachChange();
      },
    });
    this.#coordinator = new StageCoordinator({
      register: this.#deployment.register,
      caller: this.#serverAccess.batchCaller,
      rateLimits: this.#rateLimits,
      serverNotices: this.#serverNotices,
      limitsOf: (name) => findService(name)?.batches,
      retryBudgetOf: (name) => this.#directory.retryBudgetOf(name),
      buffers: options.buffers,
      rollouts: gate,
      overloadPolicy: this.#overloadPolicy,
      clock,
      metrics,
      latencies,
      logger,
    });
    this.#graphs = new StageGraphClient({
      network,
      coordinator: this.#coordinator,
      overloadPolicy: this.#overloadPolicy,
      clock,
      metrics,
      logger,
    });
    const vmAdmission = new VmAdmission({
      policy: this.#overloadPolicy,
      processorCores: options.processorCores,
      sampleIntervalMs: SAMPLE_INTERVAL_MS,
      usedMs: readProcessorUseMs,
      clock,
      metrics,
      logger,
    });
    this.forwarder = new RequestForwarder({
      vmAdmission,
      environment: {
        directory: this.#directory,
        serverCaller: this.#serverAccess.serverCaller,
        graphs: this.#graphs,
        rateLimits: this.#rateLimits,
        streamVersions: this.#streamVersions,
        poisonParts,
        serverNotices: this.#serverNotices,
        ...(gate !== undefined && { rollouts: gate }),
        routeStatistics: new RouteStatistics(),
        dataCentre: settings.vm.data_centre,
        maxStageItems: options.maxStageItems ?? DEFAULT_MAX_STAGE_ITEMS,
        clock,
        metrics,
        latencies,
        buffers: options.buffers,
        logger,
      },
      table: () => this.#deployment.table,
      configurationAgeMs: (nowMs) => this.#deployment.configurationAgeMs(nowMs),
      shutdown: () => this.#shutdown,
    });
    this.#eventLoop = new EventLoopMonitor({
      clock,
      metrics,
      logger,
      onSample: (delayMs, nowMs) => {
        vmAdmission.recordDelay(delayMs, nowMs);
      },
    });
    this.#eventLoop.start();
    metrics.registerGauge("requestsInFlight", () => this.forwarder.inFlight);
    metrics.registerGauge("stageJobs", () => this.#coordinator.jobCount);
    metrics.registerGauge(
      "stageItemsWaiting",
      () => this.#coordinator.waitingItemCount,
    );
  }

  /** Rejects when it can't listen on the peer address. */
  static async start(options: RoutedDaemonOptions): Promise<RoutedDaemon> {
    const network = await startPeerNetwork({
      settings: options.settings,
      incarnation: toId<Incarnation>(randomUUID()),
      clock: MONOTONIC_CLOCK,
      metrics: options.metrics,
      logger: options.logger,
    });
    return new RoutedDaemon(options, network);
  }

  get isLeaving(): boolean {
    return this.#shutdown !== undefined;
  }

  get table(): RouteTable | undefined {
    return this.#deployment.table;
  }

  readiness(): Readiness {
    if (this.isLeaving) {
      return { kind: "notReady", reason: "The daemon is shutting down" };
    }
    if (!this.#deployment.isReady) {
      return { kind: "notReady", reason: "No configuration is in force yet" };
    }
    return { kind: "ready" };
  }

  /**
   * Ends readiness and waits for all requests and stage jobs to complete. Ends
   * the remaining requests after `graceMs`. Refuses all requests from then on.
   */
  async drain(graceMs: number): Promise<void> {
    const startedAtMs = MONOTONIC_CLOCK.nowMs();
    const endsAtMs = startedAtMs + graceMs;
    this.#shutdown = { startedAtMs, endsAtMs };
    this.#options.logger.info("shutdownStarted", {
      inFlight: this.forwarder.inFlight,
    });
    this.#network.announceLeaving();
    await sleep(Math.min(ACCEPT_CONNECTIONS_MS, graceMs));
    while (MONOTONIC_CLOCK.nowMs() < endsAtMs) {
      if (this.#workInProgress() === 0) break;
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    // In the same turn as the last check, so that no request is admitted after it.
    this.#shutdown = { startedAtMs, endsAtMs: MONOTONIC_CLOCK.nowMs() };
    this.forwarder.endAllRequests();
    this.#options.logger.info("shutdownFinished", {
      inFlight: this.forwarder.inFlight,
    });
  }

  #workInProgress(): number {
    return this.forwarder.inFlight + this.#coordinator.jobCount +
      this.#serverAccess.callsForPeers;
  }

  async close(): Promise<void> {
    this.#eventLoop.close();
    this.#graphs.close();
    this.#coordinator.close();
    this.#serverNotices.close();
    this.#servedVersions.close();
    this.#rollouts?.close();
    this.#serverAccess.close();
    await this.#deployment.close();
    await this.#network.close();
  }

  #onServerChange(change: RegisterChange): void {
    const { logger, onServerEnded } = this.#options;
    const { server } = change;
    logger.info(`server_${change.kind}`, {
      server: server.id,
      service: server.service,
      dataCentre: server.dataCentre,
      softwareVersion: server.softwareVersion,
      draining: server.isDraining,
      coldRemainingMs: server.coldRemainingMs,
    });
    this.#rollouts?.handleServerChange(change);
    this.#serverAccess.handleServerChange(change);
    if (change.kind !== "ended") return;
    if (!server.isDraining) this.#directory.recordCrash(server);
    this.#directory.forget(server.id);
    this.#rateLimits.forget(server.id);
    this.#streamVersions.recordServerEnded(server);
    this.#coordinator.handleServerEnded(server);
    onServerEnded(server);
  }
}
