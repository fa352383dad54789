/**
 * The permit source of the `current` policy: connects the owner role and the
 * permit client to peer messages and ticks.
 *
 * @module
 */

import type { PoolId, ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";
import type { PoolStatus } from "@sassafrasstage/protocol/status";
import type { HeartbeatContent } from "../peers/heartbeat_content.js";
import { PermitClient } from "./permit_client.js";
import { CandidatePools } from "./candidate_pools.js";
import { ColdStartNotifier } from "./cold_start_notifier.js";
import { StaticQuotaGrants } from "./static_quota_grants.js";
import { HeldPermits } from "./held_permits.js";
import { LatencyBaselines } from "./latency_baseline.js";
import { OwnerRole } from "./owner_role.js";
import { PendingRequests } from "./pending_requests.js";
import type { PermitLink } from "./permit_link.js";
import { PoolContext } from "./pool_context.js";
import { refusal } from "./refusal.js";
import type {
  PermitSourceOptions,
  RunningPermitSource,
} from "./running_permit_source.js";
import { WarmUpTracker } from "./warm_up_tracker.js";

/** Has no timers of its own: `tick` and peer messages drive it. */
export class SharedPermitSource implements RunningPermitSource {
  readonly heartbeatContent: HeartbeatContent;
  readonly #options: PermitSourceOptions;
  readonly #context: PoolContext;
  readonly #owner: OwnerRole;
  readonly #permitClient: PermitClient;
  readonly #held = new HeldPermits();
  readonly #candidates: CandidatePools;
  readonly #staticQuota: StaticQuotaGrants;
  readonly #unsubscribe: (() => void)[];

  constructor(options: PermitSourceOptions) {
    this.#options = options;
    const context = new PoolContext(options);
    const warmUpTracker = new WarmUpTracker();
    const link = this.#makeLink();
    const roleOptions = {
      context,
      warmUpTracker,
      link,
      coldStartNotifier: new ColdStartNotifier({
        context,
        link,
        warmUpTracker,
      }),
      held: this.#held,
      baselines: new LatencyBaselines(),
      metrics: options.metrics,
      logger: options.logger,
    };
    this.#context = context;
    const pending = new PendingRequests();
    this.#candidates = new CandidatePools({ context, pending });
    this.#staticQuota = new StaticQuotaGrants(roleOptions);
    this.#owner = new OwnerRole({
      ...roleOptions,
      startedAtMs: options.clock.nowMs(),
    });
    this.#permitClient = new PermitClient({
      ...roleOptions,
      staticQuota: this.#staticQuota,
      candidates: this.#candidates,
      pending,
    });
    this.heartbeatContent = this.#makeHeartbeatContent();
    this.#unsubscribe = [
      ...this.#subscribeToMessages(),
      ...this.#subscribeToEvents(),
    ];
    this.tick();
  }

  acquire(
    permitRequest: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitDecision> {
    if (signal.aborted) {
      return Promise.resolve(
        refusal("callerDisconnected", "The permit request was canceled", 0),
      );
    }
    return new Promise((resolve) => {
      const nowMs = this.#nowAfterPauseCheck();
      const settled = new AbortController();
      function settle(decision: PermitDecision): void {
        settled.abort();
        resolve(decision);
      }
      const cancel = this.#permitClient.submit(
        { permitRequest, settle },
        nowMs,
      );
      signal.addEventListener("abort", () => {
        cancel(this.#nowAfterPauseCheck());
      }, { signal: settled.signal });
    });
  }

  release(permit: Permit, release: PermitRelease): void {
    this.#permitClient.release(permit, release, this.#nowAfterPauseCheck());
  }

  recordFirstToken(permit: Permit, firstTokenMs: number): void {
    this.#permitClient.recordFirstToken(
      permit,
      firstTokenMs,
      this.#nowAfterPauseCheck(),
    );
  }

  isPermitValid(permit: Permit, nowMs: number): boolean {
    this.#nowAfterPauseCheck();
    return this.#context.isConfigurationConfirmed(nowMs) &&
      this.#held.isUsable(permit.permitId, nowMs);
  }

  candidatePools(service: ServiceName, nowMs: number): PoolId[] {
    return this.#candidates.pools(service, nowMs);
  }

  statuses(nowMs: number): PoolStatus[] {
    return this.#owner.statuses(nowMs);
  }

  startLeaving(): void {
    const nowMs = this.#nowAfterPauseCheck();
    this.#owner.giveUpAll(nowMs);
    this.#context.setLeaving();
    this.tick();
  }

  close(): void {
    for (const unsubscribe of this.#unsubscribe) unsubscribe();
    this.#permitClient.close(this.#options.clock.nowMs());
  }

  /**
   * Applies the membership view, the configuration and the elapsed time; must be
   * called every few tens of milliseconds.
   */
  tick(): void {
    const nowMs = this.#nowAfterPauseCheck();
    this.#context.refresh(nowMs);
    this.#owner.tick(nowMs);
    this.#permitClient.tick(nowMs);
  }

  /**
   * Returns the current time, after giving up all pools if the process was
   * paused for at least a lease.
   */
  #nowAfterPauseCheck(): number {
    const nowMs = this.#options.clock.nowMs();
    this.#owner.giveUpAfterPause(nowMs);
    return nowMs;
  }

  #makeLink(): PermitLink {
    const { network } = this.#options;
    return {
      send: (to, message) => {
        if (to !== network.self.vmId) return network.send(to, message);
        this.#handleMessage(to, message);
        return true;
      },
    };
  }

  #makeHeartbeatContent(): HeartbeatContent {
    return {
      ownedPools: (nowMs) => {
        this.#nowAfterPauseCheck();
        return this.#owner.ownedPools(nowMs);
      },
      supportFor: (from, pools, nowMs) => {
        this.#nowAfterPauseCheck();
        return this.#owner.supportFor(from, pools, nowMs);
      },
      onReply: (from, sentAtMs, supported) => {
        const nowMs = this.#nowAfterPauseCheck();
        this.#owner.recordSupport(
          { from, heartbeatSentAtMs: sentAtMs, pools: supported },
          nowMs,
        );
      },
    };
  }

  #subscribeToMessages(): (() => void)[] {
    const { messages } = this.#options.network;
    const types = [
      "permitRequest",
      "permitDecision",
      "permitCancel",
      "permitRelease",
      "outstandingRequest",
      "outstandingReply",
      "heartbeat",
      "heartbeatReply",
    ] as const;
    return types.map((type) =>
      messages.on(type, (received) => {
        this.#handleMessage(received.from.vmId, received.message);
      })
    );
  }

  #subscribeToEvents(): (() => void)[] {
    const { lifecycle } = this.#options.network;
    return [
      lifecycle.on("connected", (peer) => {
        this.#permitClient.handleConnected(
          peer.vmId,
          this.#nowAfterPauseCheck(),
        );
      }),
      lifecycle.on("disconnected", (peer) => {
        const nowMs = this.#nowAfterPauseCheck();
        this.#owner.dropRequestsOf(peer.vmId);
        this.#permitClient.handleDisconnected(peer.vmId, nowMs);
      }),
      lifecycle.on("membershipChanged", () => {
        this.tick();
      }),
      this.#options.configuration.events.on("adopted", () => {
        this.tick();
      }),
    ];
  }

  #handleMessage(from: VmId, message: PeerMessage): void {
    const nowMs = this.#nowAfterPauseCheck();
    this.#staticQuota.recordHeard(from, nowMs);
    switch (message.type) {
      case "permitRequest":
        this.#owner.handlePermitRequest(from, message.permitRequest, nowMs);
        break;
      case "permitDecision":
        this.#permitClient.handleDecision(from, message, nowMs);
        break;
      case "permitCancel":
        this.#owner.cancel(message.pool, message.attemptId, nowMs);
        break;
      case "permitRelease":
        this.#owner.release(message.pool, message.release, nowMs);
        break;
      case "outstandingRequest":
        this.#permitClient.answerOutstandingRequest(from, message, nowMs);
        break;
      case "outstandingReply":
        this.#owner.handleOutstandingReply(from, message, nowMs);
        break;
      default:
        break;
    }
  }
}
