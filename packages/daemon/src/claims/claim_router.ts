/**
 * Chooses who commits an operation: the partition's preferred VM, this process,
 * or a peer that reaches the platform when this process doesn't. Whoever it is,
 * the platform's conditional update decides.
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

/** Beyond the gathering: what a healthy platform and peer need at most. */
const PEER_ANSWER_MS = 400;
/** Peers that are asked when this process doesn't reach the platform. */
const MAX_RELAYS = 2;
/** For so long after a failure peers are asked before the platform. */
const UNREACHABLE_MS = 1000;

export interface ClaimRouterOptions {
  readonly settings: Settings["claims"];
  readonly network: PeerNetwork;
  readonly committers: ClaimCommitters;
  readonly relay: ClaimRelay;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Finds somebody who can commit. */
export class ClaimRouter {
  readonly #options: ClaimRouterOptions;
  #unreachableUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: ClaimRouterOptions) {
    this.#options = options;
  }

  /** Never rejects; "unavailable" means that nobody could commit in time. */
  async commit(
    operation: Operation,
    holder?: VmId,
  ): Promise<OperationResult> {
    const { network, metrics } = this.#options;
    const first = holder ?? this.#preferredVm(operation);
    if (first !== network.self.vmId) {
      const result = await this.#ask(first, operation);
      if (result.kind !== "unavailable") return result;
      metrics.countEvent("claimPreferredUnavailable");
    }
    const peers = this.#relays(first);
    if (this.#options.clock.nowMs() < this.#unreachableUntilMs) {
      const relayed = await this.#askInTurn(peers, operation);
      if (relayed.kind !== "unavailable") return relayed;
      return await this.#commitHere(operation);
    }
    const direct = await this.#commitHere(operation);
    if (direct.kind !== "unavailable") return direct;
    return await this.#askInTurn(peers, operation);
  }

  async #commitHere(operation: Operation): Promise<OperationResult> {
    const { committers, clock } = this.#options;
    if (clock.nowMs() >= operation.expiresAtMs) return UNAVAILABLE;
    const result = await committers.submit(operation);
    if (result.kind === "unavailable") {
      this.#unreachableUntilMs = clock.nowMs() + UNREACHABLE_MS;
    }
    return result;
  }

  async #askInTurn(
    peers: readonly VmId[],
    operation: Operation,
  ): Promise<OperationResult> {
    for (const peer of peers) {
      const result = await this.#ask(peer, operation);
      if (result.kind === "unavailable") continue;
      this.#options.metrics.countEvent("claimCommittedByRelay");
      return result;
    }
    return UNAVAILABLE;
  }

  async #ask(to: VmId, operation: Operation): Promise<OperationResult> {
    const { relay, clock, settings } = this.#options;
    const remainingMs = operation.expiresAtMs - clock.nowMs();
    if (remainingMs <= 0) return UNAVAILABLE;
    const timeoutMs = Math.min(
      settings.gather_max_ms + PEER_ANSWER_MS,
      remainingMs,
    );
    return await relay.ask(to, operation, timeoutMs);
  }

  /** Every daemon that sees the same live VMs prefers the same one. */
  #preferredVm(operation: Operation): VmId {
    const { settings, network } = this.#options;
    const partition = partitionOf(operation.hash, settings.partitions);
    const vmIds = this.#liveMembers().map((member) => member.vmId);
    const [first] = rankByRendezvous(`claims/${partition}`, vmIds);
    return first ?? network.self.vmId;
  }

  /** Those in other data centres first: they may reach the platform. */
  #relays(alreadyAsked: VmId): VmId[] {
    const { self } = this.#options.network;
    const others = this.#liveMembers().filter((member) =>
      !member.isSelf && member.vmId !== alreadyAsked
    );
    const far = others.filter((m) => m.dataCentre !== self.dataCentre);
    const near = others.filter((m) => m.dataCentre === self.dataCentre);
    return [...far, ...near].slice(0, MAX_RELAYS).map((m) => m.vmId);
  }

  #liveMembers(): Member[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members.filter((member) =>
      member.state === "live"
    );
  }
}
