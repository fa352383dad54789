/**
 * Makes calls to backend servers for VMs that don't reach them.
 *
 * Load pattern: many VMs are cut off at once, and the others serve their own
 * clients beside. What exceeds the limits is refused at once.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { ServerCallMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  RelayedCall,
  RelayedCallEvent,
} from "@sassafrasstage/protocol/server_calls";
import type { Clock } from "../clock.js";
import type { ServerCaller } from "../forwarding/server_caller.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ServerNotices } from "../register/server_notices.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { ServerLoads } from "../server_load/server_loads.js";
import { RelayedCallRun } from "./relayed_call_run.js";
import {
  MAX_RELAYED_BODY_BYTES,
  MAX_RELAYED_CALLS,
  MAX_RELAYED_CALLS_PER_VM,
} from "./relayed_call_limits.js";
import { PERMIT_TTL_MS } from "../rollouts/held_permits.js";
import { NO_ROLLOUTS, type RolloutGate } from "../rollouts/rollout_gate.js";
import type { ServerReach } from "./server_reach.js";

export interface RelayedCallServerOptions {
  readonly network: PeerNetwork;
  readonly register: ServerRegister;
  readonly reach: ServerReach;
  /** Calls servers directly. */
  readonly caller: ServerCaller;
  readonly serverNotices: ServerNotices;
  readonly serverLoads?: ServerLoads | undefined;
  readonly connectionShare: (service: ServiceName) => number;
  /** Absent where rollouts of versions aren't supervised. */
  readonly rollouts?: RolloutGate | undefined;
  /** Whether this process is shutting down. */
  readonly isLeaving: () => boolean;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class RelayedCallServer {
  readonly #options: RelayedCallServerOptions;
  readonly #runs = new Map<VmId, Map<number, RelayedCallRun>>();
  #runCount = 0;

  constructor(options: RelayedCallServerOptions) {
    this.#options = options;
    const { network, metrics } = options;
    network.messages.on("serverCall", ({ from, message }) => {
      this.#handleCall(from.vmId, message);
    });
    network.messages.on("serverCallBody", ({ from, message }) => {
      this.#find(from.vmId, message.callNumber)
        ?.addBody(Buffer.from(message.data));
    });
    network.messages.on("serverCallCredit", ({ from, message }) => {
      this.#find(from.vmId, message.callNumber)?.addCredit(message.bytes);
    });
    network.messages.on("serverCallCancel", ({ from, message }) => {
      this.#find(from.vmId, message.callNumber)?.cancel();
    });
    // The VM has given up the calls of an earlier connection.
    for (const event of ["connected", "disconnected"] as const) {
      network.lifecycle.on(event, ({ vmId }) => {
        for (const run of [...this.#runs.get(vmId)?.values() ?? []]) {
          run.cancel();
        }
      });
    }
    metrics.registerGauge("callsForPeers", () => this.#runCount);
  }

  /** Number of calls in progress. */
  get runCount(): number {
    return this.#runCount;
  }

  #find(vmId: VmId, callNumber: number): RelayedCallRun | undefined {
    return this.#runs.get(vmId)?.get(callNumber);
  }

  #handleCall(from: VmId, { callNumber, call }: ServerCallMessage): void {
    const { metrics, logger } = this.#options;
    const server = this.#options.register.get(call.backendServerId);
    const refusal = this.#findRefusal(from, call, server);
    if (refusal !== undefined || server === undefined) {
      const detail = refusal ?? "serverNotUsable";
      metrics.countEvent(`callForPeerRefused.${detail}`);
      logger.info("callForPeerRefused", {
        request: call.attemptId,
        server: call.backendServerId,
        peer: from,
        reason: detail,
        callsForPeers: this.#runCount,
      });
      this.#send(from, callNumber, {
        kind: "notSent",
        detail,
        isConnectionFailure: false,
        isPeerFailure: detail !== "serverNotUsable",
      });
      return;
    }
    metrics.countEvent("callForPeer");
    this.#add(
      from,
      callNumber,
      this.#makeRun(from, { callNumber, call, server }),
    );
  }

  /** Why this VM doesn't make the call; undefined if it does. */
  #findRefusal(
    from: VmId,
    call: RelayedCall,
    server: RegisteredServer | undefined,
  ): string | undefined {
    const { register, reach } = this.#options;
    const isOtherProcess = server?.startedAt !== call.startedAt;
    if (server === undefined || isOtherProcess || !register.isUsable(server)) {
      return "serverNotUsable";
    }
    if (this.#options.isLeaving()) return "leaving";
    if (reach.stateOf(server.id)?.kind === "cutOff") return "serverNotReached";
    if (call.bodyBytes > MAX_RELAYED_BODY_BYTES) return "bodyTooLarge";
    const callsOfVm = this.#runs.get(from)?.size ?? 0;
    const isFull = this.#runCount >= MAX_RELAYED_CALLS ||
      callsOfVm >= MAX_RELAYED_CALLS_PER_VM;
    return isFull ? "tooManyCallsForPeers" : undefined;
  }

  #makeRun(
    from: VmId,
    { callNumber, call, server }: {
      readonly callNumber: number;
      readonly call: RelayedCall;
      readonly server: RegisteredServer;
    },
  ): RelayedCallRun {
    const { caller, clock, logger, register, serverNotices } = this.#options;
    const { rollouts = NO_ROLLOUTS } = this.#options;
    // The asking VM counts the call and its permit, which expires here as there.
    const permit = call.hasRolloutPermit === true
      ? { expiresAtMs: clock.nowMs() + PERMIT_TTL_MS }
      : undefined;
    return new RelayedCallRun({
      call,
      server,
      caller,
      clock,
      connectionShare: this.#options.connectionShare(server.service),
      maySend: () =>
        register.isUsable(server) && rollouts.maySend(server, permit, {
          isContinuation: call.resumeAfter !== undefined,
        }),
      send: (event) => this.#send(from, callNumber, event),
      onHead: (head) => {
        serverNotices.record(server, head.notice, call.attemptId);
        if (head.load === undefined) return;
        this.#options.serverLoads?.record(server, head.load, call.attemptId);
      },
      onEnded: (outcome) => {
        this.#remove(from, callNumber);
        logger.info("callForPeerEnded", {
          request: call.attemptId,
          server: server.id,
          peer: from,
          callNumber,
          outcome,
        });
      },
    });
  }

  #add(from: VmId, callNumber: number, run: RelayedCallRun): void {
    const runs = this.#runs.get(from) ?? new Map<number, RelayedCallRun>();
    runs.get(callNumber)?.cancel();
    runs.set(callNumber, run);
    this.#runs.set(from, runs);
    this.#runCount += 1;
    run.startIfComplete();
  }

  #remove(from: VmId, callNumber: number): void {
    const runs = this.#runs.get(from);
    if (runs?.delete(callNumber) !== true) return;
    this.#runCount -= 1;
    if (runs.size === 0) this.#runs.delete(from);
  }

  #send(to: VmId, callNumber: number, event: RelayedCallEvent): boolean {
    return this.#options.network.send(to, {
      type: "serverCallEvent",
      callNumber,
      event,
    });
  }
}
