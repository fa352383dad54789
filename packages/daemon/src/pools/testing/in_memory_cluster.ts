/**
 * Permit sources connected by an in-memory peer network with a simulated clock.
 * Links can be cut or delayed, and nodes can be frozen or killed.
 *
 * @module
 */

import {
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import Emittery from "emittery";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { ConfigurationEvents } from "../../configuration/configuration_source.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import type {
  Member,
  MemberState,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
  PeerNetwork,
} from "../../peers/peer_network.js";
import { SharedPermitSource } from "../shared_permit_source.js";
import { makeSettings } from "./test_configuration.js";

const STEP_MS = 5;
const TICK_MS = 20;
const HEARTBEAT_MS = 200;
const SILENT_AFTER_MS = 1000;
/**
 * Time after which connections to a killed node are refused, so that its peers
 * see it as gone.
 */
const GONE_AFTER_MS = 50;

interface InFlightMessage {
  readonly from: ClusterNode;
  readonly to: ClusterNode;
  readonly dueAtMs: number;
  readonly deliver: () => void;
}

/** One daemon of the cluster: its permit source and its state in the fake network. */
export class ClusterNode {
  readonly identity: PeerIdentity;
  readonly network: PeerNetwork;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycleEvents = new Emittery<PeerLifecycleEvents>();
  readonly heardAtMs = new Map<VmId, number>();
  readonly metrics = new Metrics();
  source: SharedPermitSource | undefined;
  isFrozen = false;
  leavingSinceMs = Infinity;
  killedAtMs: number | undefined;

  constructor(cluster: InMemoryCluster, identity: PeerIdentity) {
    this.identity = identity;
    this.network = {
      self: identity,
      messages: this.messages,
      lifecycle: this.lifecycleEvents,
      send: (to, message) => cluster.send(this, to, message),
      sendToAll: (to, message) => {
        for (const vmId of to) cluster.send(this, vmId, message);
      },
      view: () => ({ members: cluster.viewOf(this) }),
    };
  }

  get permits(): SharedPermitSource {
    if (this.source === undefined) throw new Error("The node isn't started");
    return this.source;
  }

  get isRunning(): boolean {
    return !this.isFrozen && this.killedAtMs === undefined;
  }
}

export interface ClusterOptions {
  /** VM ids with their data centres. */
  readonly vms: Readonly<Record<string, string>>;
  readonly configuration: Configuration;
}

/** Deterministic: simulated time advances in steps of `STEP_MS`. */
export class InMemoryCluster {
  readonly nodes: readonly ClusterNode[];
  readonly adopted = new Emittery<ConfigurationEvents>();
  configuration: Configuration;
  listing: VmListing | undefined;
  latencyMs = STEP_MS;
  nowMs = 10_000;
  readonly #cutLinks = new Set<string>();
  readonly #actions = new Map<number, (() => void)[]>();
  #inFlightMessages: InFlightMessage[] = [];

  constructor(options: ClusterOptions) {
    this.configuration = options.configuration;
    this.nodes = Object.entries(options.vms).map(([vmId, dataCentre]) =>
      new ClusterNode(this, {
        vmId: toId(vmId),
        incarnation: toId<Incarnation>("1"),
        dataCentre: toId(dataCentre),
      })
    );
    for (const node of this.nodes) this.#start(node);
  }

  node(vmId: string): ClusterNode {
    const found = this.nodes.find((node) => node.identity.vmId === vmId);
    if (found === undefined) throw new Error(`Unknown node "${vmId}"`);
    return found;
  }

  /** Cuts the link between two nodes. Messages in flight are delivered after `heal`. */
  cutLink(first: ClusterNode, second: ClusterNode): void {
    this.#cutLinks.add(linkKey(first, second));
  }

  /** Cuts the links between the node and all others. */
  isolate(node: ClusterNode): void {
    for (const other of this.nodes) this.cutLink(node, other);
  }

  heal(): void {
    this.#cutLinks.clear();
  }

  /** Loses the messages on their way to the node, as if its connections broke. */
  loseMessagesTo(node: ClusterNode): void {
    this.#inFlightMessages = this.#inFlightMessages.filter((inFlight) =>
      inFlight.to !== node
    );
  }

  adopt(configuration: Configuration): void {
    this.configuration = configuration;
    void this.adopted.emit("adopted", configuration);
  }

  /** Starts the node's shutdown, which its next heartbeats announce to the others. */
  leave(node: ClusterNode): void {
    node.leavingSinceMs = this.nowMs;
    node.permits.startLeaving();
  }

  kill(node: ClusterNode): void {
    node.killedAtMs = this.nowMs;
    for (const other of this.nodes) {
      if (other === node) continue;
      void other.lifecycleEvents.emit("disconnected", node.identity);
    }
  }

  /** Runs the action after the given time, even while nodes are frozen. */
  after(delayMs: number, action: () => void): void {
    const atMs = Math.ceil((this.nowMs + delayMs) / STEP_MS) * STEP_MS;
    this.#actions.set(atMs, [...this.#actions.get(atMs) ?? [], action]);
  }

  /** Runs the action once the node isn't frozen; never if the node was killed. */
  whenRunning(node: ClusterNode, action: () => void): void {
    if (node.killedAtMs !== undefined) return;
    if (node.isRunning) action();
    else {this.after(STEP_MS, () => {
        this.whenRunning(node, action);
      });}
  }

  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      for (const action of this.#actions.get(this.nowMs) ?? []) action();
      this.#actions.delete(this.nowMs);
      this.#deliverDue();
      await nextTurn();
      for (const node of this.nodes) this.#runNode(node);
      await nextTurn();
    }
  }

  send(from: ClusterNode, to: VmId, message: PeerMessage): boolean {
    const target = this.nodes.find((node) => node.identity.vmId === to);
    if (target === undefined || target.killedAtMs !== undefined) return false;
    this.#enqueue(from, target, () => {
      void target.messages.emit(message.type, {
        from: from.identity,
        message,
      } as never);
    });
    return true;
  }

  viewOf(viewer: ClusterNode): Member[] {
    return this.nodes.map((node) => ({
      vmId: node.identity.vmId,
      dataCentre: node.identity.dataCentre,
      state: this.#stateOf(node, viewer),
      isSelf: node === viewer,
      generation: 1,
    })).sort((a, b) => a.vmId < b.vmId ? -1 : 1);
  }

  #stateOf(node: ClusterNode, viewer: ClusterNode): MemberState {
    if (node === viewer) return "live";
    const { killedAtMs } = node;
    if (
      killedAtMs !== undefined && this.nowMs > killedAtMs + GONE_AFTER_MS
    ) {
      return "gone";
    }
    const heardAtMs = viewer.heardAtMs.get(node.identity.vmId) ?? -Infinity;
    if (this.nowMs - heardAtMs > SILENT_AFTER_MS) return "silent";
    return heardAtMs > node.leavingSinceMs ? "leaving" : "live";
  }

  #start(node: ClusterNode): void {
    for (const other of this.nodes) {
      node.heardAtMs.set(other.identity.vmId, this.nowMs);
    }
    node.source = new SharedPermitSource({
      settings: makeSettings(node.identity),
      network: node.network,
      configuration: {
        events: this.adopted,
        current: () => this.configuration,
      },
      listedVms: () => this.listing,
      clock: { nowMs: () => this.nowMs },
      metrics: node.metrics,
      logger: createLogger("error", {}),
    });
  }

  #runNode(node: ClusterNode): void {
    if (!node.isRunning) return;
    if (this.nowMs % TICK_MS === 0) node.permits.tick();
    if (this.nowMs % HEARTBEAT_MS === 0) this.#sendHeartbeats(node);
  }

  #sendHeartbeats(node: ClusterNode): void {
    const sentAtMs = this.nowMs;
    const pools = node.permits.heartbeatContent.ownedPools(sentAtMs);
    const from = node.identity.vmId;
    for (const other of this.nodes) {
      if (other === node || other.killedAtMs !== undefined) continue;
      this.#enqueue(node, other, () => {
        other.heardAtMs.set(from, this.nowMs);
        void other.messages.emit("heartbeat", {
          from: node.identity,
          message: {
            type: "heartbeat",
            sequence: 1,
            generation: 1,
            leaving: sentAtMs >= node.leavingSinceMs,
            ownedPools: pools,
          },
        });
        const supported = other.permits.heartbeatContent.supportFor(
          from,
          pools,
          this.nowMs,
        );
        this.#enqueue(other, node, () => {
          node.heardAtMs.set(other.identity.vmId, this.nowMs);
          node.permits.heartbeatContent.onReply(
            other.identity.vmId,
            sentAtMs,
            supported,
          );
        });
      });
    }
  }

  #enqueue(from: ClusterNode, to: ClusterNode, deliver: () => void): void {
    const dueAtMs = this.nowMs + this.latencyMs;
    this.#inFlightMessages.push({ from, to, dueAtMs, deliver });
  }

  #deliverDue(): void {
    const queued = this.#inFlightMessages;
    this.#inFlightMessages = [];
    for (const inFlight of queued) {
      const isHeld = inFlight.dueAtMs > this.nowMs || inFlight.to.isFrozen ||
        this.#cutLinks.has(linkKey(inFlight.from, inFlight.to));
      if (isHeld) this.#inFlightMessages.push(inFlight);
      else if (inFlight.to.killedAtMs === undefined) inFlight.deliver();
    }
  }
}

function linkKey(first: ClusterNode, second: ClusterNode): string {
  return [first.identity.vmId, second.identity.vmId].sort().join("/");
}
