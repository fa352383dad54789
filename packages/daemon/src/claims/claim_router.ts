/**
 * Chooses which daemon commits an operation: the partition's preferred VM, this
 * process, or a peer if this process cannot reach the platform. In every case
 * the platform's conditional update decides the result.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import type { Member, PeerNetwork } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { Settings } from "../settings/settings.js";
import { partitionOf } from "./claim_hash.js";
import type { ClaimCommitters } from "./claim_committers.js";
import {
  type Operation,
  type OperationResult,
  UNAVAILABLE,
} from "./claim_operation.js";
import type { ClaimRelay } from "./claim_relay.js";
import { abortableSleep } from "./abortable_sleep.js";

/** Maximum response time of a healthy platform or peer, batching excluded. */
const HEALTHY_RESPONSE_MS = 400;
/** Maximum number of peers tried if this process can't reach the platform. */
const MAX_RELAYS = 2;
/** A peer that failed to commit an operation is skipped for this long. */
const PEER_SKIP_MS = 500;

export interface ClaimRouterOptions {
  readonly settings: Settings["claims"];
  readonly network: PeerNetwork;
  readonly committers: ClaimCommitters;
  readonly relay: ClaimRelay;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Routes operations to a daemon that can commit them. */
export class ClaimRouter {
  readonly #options: ClaimRouterOptions;
  /** Until when to skip each peer that failed to commit an operation. */
  readonly #skippedUntilMs = new Map<VmId, number>();

  constructor(options: ClaimRouterOptions) {
    this.#options = options;
  }

  /**
   * Never rejects. "unavailable" means that no commit was confirmed in time;
   * the operation may still be committed later.
   */
  async commit(
    operation: Operation,
    holder?: VmId,
  ): Promise<OperationResult> {
    const remainingMs = operation.expiresAtMs - this.#options.clock.nowMs();
    if (remainingMs <= 0) return UNAVAILABLE;
    const abort = new AbortController();
    const expiry = abortableSleep(remainingMs, abort.signal);
    const result = await Promise.race([
      this.#commitAnywhere(operation, holder),
      expiry,
    ]);
    abort.abort();
    return result ?? UNAVAILABLE;
  }

  async #commitAnywhere(
    operation: Operation,
    holder: VmId | undefined,
  ): Promise<OperationResult> {
    const { network, metrics, committers, clock } = this.#options;
    const preferred = holder ?? this.#preferredVm(operation);
    if (preferred !== network.self.vmId && !this.#isSkipped(preferred)) {
      const result = await this.#relayTo(preferred, operation);
      if (result.kind !== "unavailable") return result;
      metrics.countEvent("claimPreferredUnavailable");
    }
    if (!committers.isReachable(clock.nowMs())) {
      const relayed = await this.#relayToPeers(operation, preferred);
      if (relayed.kind !== "unavailable") return relayed;
    }
    return await this.#commitHereOrRelay(operation, preferred);
  }

  /** Also tries peers if the platform fails or is slow to respond. */
  async #commitHereOrRelay(
    operation: Operation,
    alreadyAsked: VmId,
  ): Promise<OperationResult> {
    const { committers, clock } = this.#options;
    const direct = committers.submit(operation);
    const abort = new AbortController();
    const responseTimeout = abortableSleep(
      this.#responseTimeoutMs(),
      abort.signal,
    );
    const result = await Promise.race([direct, responseTimeout]);
    abort.abort();
    if (result !== undefined && result.kind !== "unavailable") return result;
    if (result === undefined) committers.markUnreachable(clock.nowMs());
    const relayed = this.#relayToPeers(operation, alreadyAsked);
    return await firstAvailable([direct, relayed]);
  }

  async #relayToPeers(
    operation: Operation,
    alreadyAsked: VmId,
  ): Promise<OperationResult> {
    for (const peer of this.#relayCandidates(alreadyAsked)) {
      const result = await this.#relayTo(peer, operation);
      if (result.kind === "unavailable") continue;
      this.#options.metrics.countEvent("claimCommittedByRelay");
      return result;
    }
    return UNAVAILABLE;
  }

  async #relayTo(to: VmId, operation: Operation): Promise<OperationResult> {
    const { relay, clock } = this.#options;
    const result = await relay.requestCommit(
      to,
      operation,
      this.#responseTimeoutMs(),
    );
    if (result.kind === "unavailable") {
      this.#skippedUntilMs.set(to, clock.nowMs() + PEER_SKIP_MS);
    }
    return result;
  }

  #isSkipped(vmId: VmId): boolean {
    const untilMs = this.#skippedUntilMs.get(vmId);
    return untilMs !== undefined && this.#options.clock.nowMs() < untilMs;
  }

  /** Time limit for a response of the platform or a peer. */
  #responseTimeoutMs(): number {
    return this.#options.settings.gather_max_ms + HEALTHY_RESPONSE_MS;
  }

  /** Daemons with the same view of the live VMs prefer the same one. */
  #preferredVm(operation: Operation): VmId {
    const { settings, network } = this.#options;
    const partition = partitionOf(operation.hash, settings.partitions);
    const vmIds = this.#liveMembers().map((member) => member.vmId);
    const [first] = rankByRendezvous(`claims/${partition}`, vmIds);
    return first ?? network.self.vmId;
  }

  /** Other data centres first, since they may still reach the platform. */
  #relayCandidates(alreadyAsked: VmId): VmId[] {
    const { self } = this.#options.network;
    const others = this.#liveMembers().filter((member) =>
      !member.isSelf && member.vmId !== alreadyAsked &&
      !this.#isSkipped(member.vmId)
    );
    const inOtherDataCentres = others.filter((m) =>
      m.dataCentre !== self.dataCentre
    );
    const inSameDataCentre = others.filter((m) =>
      m.dataCentre === self.dataCentre
    );
    return [...inOtherDataCentres, ...inSameDataCentre].slice(0, MAX_RELAYS)
      .map((m) => m.vmId);
  }

  #liveMembers(): Member[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members.filter((member) =>
      member.state === "live"
    );
  }
}

/** Resolves to "unavailable" only if all attempts do. */
async function firstAvailable(
  attempts: readonly Promise<OperationResult>[],
): Promise<OperationResult> {
  const available = attempts.map(async (attempt) => {
    const result = await attempt;
    if (result.kind === "unavailable") throw new UnavailableError();
    return result;
  });
  try {
    return await Promise.any(available);
  } catch (error) {
    if (error instanceof AggregateError) return UNAVAILABLE;
    throw error;
  }
}

/** Makes `Promise.any` skip an attempt that resulted in "unavailable". */
class UnavailableError extends Error {
  override readonly name = "UnavailableError";
}
