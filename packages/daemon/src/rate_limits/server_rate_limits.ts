/**
 * Keeps the rate limits that backend servers state, which hold for the requests
 * of all VMs together.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@sassafrasstage/protocol/ids";
import type { RateRequestMessage } from "@sassafrasstage/protocol/peer_messages";
import type { StatedRateLimit } from "@sassafrasstage/protocol/rate_limits";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import { KnownRateLimits } from "./known_rate_limits.js";
import { LimitOwners } from "./limit_owners.js";
import { RateLimitClient } from "./rate_limit_client.js";
import { type RateDecision, RateLimitOwner } from "./rate_limit_owner.js";
import { RateLimitSharing } from "./rate_limit_sharing.js";
import type { RateLimitStatement } from "./rate_limit_statement.js";

export interface ServerRateLimitsOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Time for which a permit that was obtained in advance may be used. */
const RESERVATION_TTL_MS = 500;

type Reservation =
  | { readonly kind: "requested" }
  | { readonly kind: "granted"; readonly expiresAtMs: number };

export class ServerRateLimits {
  readonly #options: ServerRateLimitsOptions;
  readonly #known = new KnownRateLimits();
  readonly #owners: LimitOwners;
  readonly #owner: RateLimitOwner;
  readonly #client: RateLimitClient;
  readonly #sharing: RateLimitSharing;
  /** Until when each server accepts no more requests from this VM. */
  readonly #exhaustedUntilMs = new Map<BackendServerId, number>();
  readonly #reservations = new Map<BackendServerId, Reservation>();

  constructor(options: ServerRateLimitsOptions) {
    this.#options = options;
    const { network, clock, metrics, logger } = options;
    this.#owners = new LimitOwners((nowMs) => network.view(nowMs));
    this.#owner = new RateLimitOwner(network.self.vmId, this.#owners);
    this.#sharing = new RateLimitSharing(network);
    this.#client = new RateLimitClient({
      network,
      onStated: (id, stated, from) => {
        this.#applyFromPeer(id, stated, from);
      },
      onTimeout: (id, owner) => {
        metrics.countEvent("rateLimitOwnerSilent");
        logger.info("rateLimitOwnerSilent", { server: id, owner });
      },
    });
    network.messages.on("rateRequest", ({ from, message }) => {
      this.#handleRequest(from.vmId, message);
    });
    network.messages.on("rateLimitChange", ({ from, message }) => {
      const { backendServerId: id, stated, relay } = message;
      this.#applyFromPeer(id, stated, from.vmId);
      if (!relay) return;
      const nowMs = clock.nowMs();
      this.#sharing.relay(id, stated, { except: from.vmId, nowMs });
    });
    network.lifecycle.on("connected", ({ vmId }) => {
      this.#tellLimitsInForce(vmId);
    });
    network.lifecycle.on("membershipChanged", () => {
      this.#owner.releaseFormerServers(clock.nowMs());
    });
    metrics.registerGauge(
      "rateLimitedServers",
      () => this.#known.limitedServers().length,
    );
  }

  /** The server's limit, in requests per second from all VMs together. */
  requestsPerSecond(id: BackendServerId): number | undefined {
    return this.#known.requestsPerSecond(id);
  }

  /** The VM that grants the requests to a server, as seen from this VM. */
  ownerOf(id: BackendServerId): VmId | undefined {
    return this.#owners.ownerOf(id, this.#options.clock.nowMs());
  }

  /** Applies what a response states about the server's limit. */
  recordStatement(
    id: BackendServerId,
    statement: RateLimitStatement,
    call: {
      readonly startedAtMs: number;
      readonly request: string | undefined;
    },
  ): void {
    const nowMs = this.#options.clock.nowMs();
    const previous = this.requestsPerSecond(id);
    const isChanged = this.#known.applyStatement(id, statement, {
      callStartedAtMs: call.startedAtMs,
      nowMs,
    });
    if (!isChanged) return;
    this.#handleChange(id, { previous, request: call.request });
    const stated = this.#known.toStated(id, nowMs);
    const owner = this.#owners.ownerOf(id, nowMs);
    if (stated === undefined || owner === undefined) return;
    if (owner === this.#options.network.self.vmId) {
      this.#sharing.tellAll(id, stated, { except: undefined, nowMs });
    } else this.#sharing.tell(owner, id, stated);
  }

  /** Time until the server accepts another request from this VM. */
  availableInMs(id: BackendServerId, nowMs: number): number {
    if (this.requestsPerSecond(id) === undefined) return 0;
    return Math.max(0, (this.#exhaustedUntilMs.get(id) ?? 0) - nowMs);
  }

  /** Obtains permission for one request; true if the server has no limit. */
  async acquire(id: BackendServerId): Promise<boolean> {
    const { clock, metrics, network, logger } = this.#options;
    const nowMs = clock.nowMs();
    const requestsPerSecond = this.requestsPerSecond(id);
    if (requestsPerSecond === undefined) return true;
    if (this.availableInMs(id, nowMs) > 0) return false;
    const owner = this.#owners.ownerOf(id, nowMs);
    const decision = owner === undefined || owner === network.self.vmId
      ? this.#owner.decide(id, requestsPerSecond, nowMs)
      : await this.#client.ask(owner, {
        backendServerId: id,
        requestsPerSecond,
        stated: this.#known.toStated(id, nowMs),
      });
    metrics.countEvent(`rateRequest.${decision.kind}`);
    logger.debug("rateDecision", {
      server: id,
      owner,
      requestsPerSecond,
      decision: decision.kind,
    });
    if (decision.kind === "granted") return true;
    // The owner may have known that the limit has ended.
    if (this.requestsPerSecond(id) === undefined) return true;
    this.#exhaustedUntilMs.set(id, clock.nowMs() + decision.retryAfterMs);
    return false;
  }

  /**
   * Whether a call can be sent to the server now. If that needs a permit, it is
   * requested in the background, so that a later check succeeds.
   */
  reserve(id: BackendServerId, nowMs: number): boolean {
    if (this.requestsPerSecond(id) === undefined) return true;
    const reservation = this.#reservations.get(id);
    if (reservation?.kind === "requested") return false;
    if (reservation !== undefined && nowMs < reservation.expiresAtMs) {
      return true;
    }
    if (this.availableInMs(id, nowMs) > 0) return false;
    this.#reservations.set(id, { kind: "requested" });
    void this.#requestReservation(id);
    return false;
  }

  /** Uses the permit that made `reserve` return true. */
  useReservation(id: BackendServerId): void {
    this.#reservations.delete(id);
  }

  /** The server's process has ended. */
  forget(id: BackendServerId): void {
    this.#known.forget(id);
    this.#endLimit(id);
  }

  async #requestReservation(id: BackendServerId): Promise<void> {
    const isGranted = await this.acquire(id);
    this.#reservations.delete(id);
    if (!isGranted) return;
    this.#reservations.set(id, {
      kind: "granted",
      expiresAtMs: this.#options.clock.nowMs() + RESERVATION_TTL_MS,
    });
  }

  #handleRequest(from: VmId, message: RateRequestMessage): void {
    const { clock, network } = this.#options;
    const { requestNumber, backendServerId: id, stated } = message;
    const nowMs = clock.nowMs();
    if (stated !== undefined) this.#applyFromPeer(id, stated, from);
    const ownStated = this.#known.toStated(id, nowMs);
    const decision = this.#decide(id, message.requestsPerSecond, nowMs);
    network.send(from, {
      type: "rateDecision",
      requestNumber,
      isGranted: decision.kind === "granted",
      retryAfterMs: decision.kind === "granted" ? 0 : decision.retryAfterMs,
      ...(ownStated === undefined ? {} : { stated: ownStated }),
    });
  }

  /** The asking VM may not have learned of a change of the limit yet. */
  #decide(
    id: BackendServerId,
    askedPerSecond: number,
    nowMs: number,
  ): RateDecision {
    const known = this.requestsPerSecond(id);
    return this.#owner.decide(id, known ?? askedPerSecond, nowMs);
  }

  #applyFromPeer(
    id: BackendServerId,
    stated: StatedRateLimit,
    from: VmId,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    const previous = this.requestsPerSecond(id);
    if (!this.#known.applyFromPeer(id, stated, nowMs)) return;
    this.#handleChange(id, { previous, peer: from, ageMs: stated.ageMs });
    if (this.#owner.isOwner(id, nowMs)) {
      this.#sharing.tellAll(id, stated, { except: from, nowMs });
    }
  }

  #handleChange(
    id: BackendServerId,
    source: {
      readonly previous: number | undefined;
      readonly request?: string | undefined;
      readonly peer?: VmId;
      readonly ageMs?: number;
    },
  ): void {
    const requestsPerSecond = this.requestsPerSecond(id);
    if (requestsPerSecond === undefined) this.#endLimit(id);
    this.#options.logger.info("serverRateLimitChanged", {
      server: id,
      requestsPerSecond,
      ...source,
    });
  }

  #endLimit(id: BackendServerId): void {
    this.#owner.forget(id);
    this.#exhaustedUntilMs.delete(id);
    this.#reservations.delete(id);
  }

  #tellLimitsInForce(vmId: VmId): void {
    const nowMs = this.#options.clock.nowMs();
    for (const id of this.#known.limitedServers()) {
      const stated = this.#known.toStated(id, nowMs);
      if (stated !== undefined) this.#sharing.tell(vmId, id, stated);
    }
  }
}
