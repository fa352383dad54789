/**
 * Reports to the owner of one service's rollout, or owns it.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type {
  RolloutPermits,
  RolloutReport,
} from "@sassafrasstage/protocol/rollouts";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerIdentity, PeerNetwork } from "../peers/peer_network.js";
import type { StatusStore } from "../platform/object_store.js";
import type { ServerRegister } from "../register/server_register.js";
import { RolloutOwner } from "./rollout_owner.js";
import type { RolloutPeers } from "./rollout_peers.js";
import { RolloutReporter } from "./rollout_reporter.js";
import type {
  ExposureSettings,
  RolloutObjectFormat,
} from "./rollout_request.js";
import type { ServiceRollout } from "./service_rollout.js";

export interface SupervisedServiceOptions {
  readonly service: ServiceName;
  readonly view: ServiceRollout;
  readonly peers: RolloutPeers;
  readonly network: PeerNetwork;
  readonly store: StatusStore;
  readonly objectFormat: RolloutObjectFormat;
  readonly exposure: ExposureSettings;
  readonly register: ServerRegister;
  readonly era: () => number;
  /** This VM's calls in progress at servers of the current version. */
  readonly inFlightAtCurrent: () => number;
  /** Whether servers of other versions are known to have served. */
  readonly hasSeenCurrent: () => boolean;
  /** The view has changed by a decision of the owner here. */
  readonly onChanged: () => void;
  /** The owner here replies to this VM's report. */
  readonly applyPermits: (permits: RolloutPermits) => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class SupervisedService {
  readonly view: ServiceRollout;
  readonly #options: SupervisedServiceOptions;
  readonly #reporter: RolloutReporter;
  #owner: RolloutOwner | undefined;

  constructor(options: SupervisedServiceOptions) {
    this.#options = options;
    this.view = options.view;
    this.#reporter = new RolloutReporter(options.view);
  }

  get isOwner(): boolean {
    return this.#owner !== undefined;
  }

  close(): void {
    this.#owner?.close();
    this.#owner = undefined;
  }

  handleReport(from: PeerIdentity, report: RolloutReport): void {
    this.#owner?.handleReport(from, report);
  }

  /** When a report was sent; undefined for one that is too old. */
  sentAtMs(sequence: number): number | undefined {
    return this.#reporter.sentAtMs(sequence);
  }

  tick(nowMs: number): void {
    const { network, peers, service } = this.#options;
    const ownerId = peers.ownerOf(service, nowMs);
    if (ownerId === network.self.vmId) this.#owner ??= this.#makeOwner();
    else this.close();
    const report = this.#reporter.takeIfDue({
      owner: ownerId,
      inFlightAtCurrent: this.#options.inFlightAtCurrent(),
      hasSeenCurrent: this.#options.hasSeenCurrent(),
      nowMs,
    });
    if (report !== undefined) this.#send(ownerId, report, nowMs);
    this.#owner?.tick();
  }

  #send(to: VmId, report: RolloutReport, nowMs: number): void {
    const { network, peers, service } = this.#options;
    if (to === network.self.vmId) this.handleReport(network.self, report);
    else peers.send(to, { type: "rolloutReport", service, report }, nowMs);
  }

  #makeOwner(): RolloutOwner {
    const { network, peers, service, register, clock } = this.#options;
    const { view } = this;
    return new RolloutOwner({
      ...this.#options,
      self: network.self.vmId,
      rollout: () => view.rollout,
      participants: (nowMs) =>
        peers.participants(nowMs).map(({ vmId }) => vmId),
      servers: () => register.usableServers(service),
      onPhase: (news, known) => {
        view.applyDecision(news.phase, clock.nowMs());
        this.#options.onChanged();
        peers.tellAll(service, news, { known, nowMs: clock.nowMs() });
      },
      onStored: (rollout) => {
        view.applyStored(rollout, clock.nowMs());
        this.#options.onChanged();
      },
      sendPermits: (to, permits) => {
        if (to === network.self.vmId) {
          this.#options.applyPermits(permits);
          return;
        }
        const message = { type: "rolloutPermits", service, permits } as const;
        peers.send(to, message, clock.nowMs());
      },
    });
  }
}
