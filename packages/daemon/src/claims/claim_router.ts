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
import { sleepUnless } from "./sleep_unless.js";

/** What a healthy platform and peer need at most, beyond the gathering. */
const HEALTHY_ANSWER_MS = 400;
/** Peers that are asked when this process doesn't reach the platform. */
const MAX_RELAYS = 2;
/** A peer that gave no usable answer isn't asked for so long. */
const SKIP_MS = 500;

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
  /** Peers that lately gave no usable answer, and until when to skip them. */
  readonly #skippedUntilMs = new Map<VmId, number>();

  constructor(options: ClaimRouterOptions) {
    this.#options = options;
  }

  /**
   * Never rejects; "unavailable" means that nobody could commit in time, though
   * somebody still may.
   */
  async commit(
    operation: Operation,
    holder?: VmId,
  ): Promise<OperationResult> {
    const remainingMs = operation.expiresAtMs - this.#options.clock.nowMs();
    if (remainingMs <= 0) return UNAVAILABLE;
    const abort = new AbortController();
    const expiry = sleepUnless(remainingMs, abort.signal);
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
    const first = holder ?? this.#preferredVm(operation);
    if (first !== network.self.vmId && !this.#isSkipped(first)) {
      const result = await this.#ask(first, operation);
      if (result.kind !== "unavailable") return result;
      metrics.countEvent("claimPreferredUnavailable");
    }
    if (!committers.isReachable(clock.nowMs())) {
      const relayed = await this.#askInTurn(operation, first);
      if (relayed.kind !== "unavailable") return relayed;
    }
    return await this.#commitHereOrRelay(operation, first);
  }

  /** Asks peers too once the platform has let this process wait for long. */
  async #commitHereOrRelay(
    operation: Operation,
    alreadyAsked: VmId,
  ): Promise<OperationResult> {
    const { committers, clock } = this.#options;
    const direct = committers.submit(operation);
    const abort = new AbortController();
    const patience = sleepUnless(this.#answerMs(), abort.signal);
    const early = await Promise.race([direct, patience]);
    abort.abort();
    if (early !== undefined && early.kind !== "unavailable") return early;
    if (early === undefined) committers.markUnreachable(clock.nowMs());
    const relayed = this.#askInTurn(operation, alreadyAsked);
    return await firstUsable([direct, relayed]);
  }

  async #askInTurn(
    operation: Operation,
    alreadyAsked: VmId,
  ): Promise<OperationResult> {
    for (const peer of this.#relays(alreadyAsked)) {
      const result = await this.#ask(peer, operation);
      if (result.kind === "unavailable") continue;
      this.#options.metrics.countEvent("claimCommittedByRelay");
      return result;
    }
    return UNAVAILABLE;
  }

  async #ask(to: VmId, operation: Operation): Promise<OperationResult> {
    const { relay, clock } = this.#options;
    const result = await relay.ask(to, operation, this.#answerMs());
    if (result.kind === "unavailable") {
      this.#skippedUntilMs.set(to, clock.nowMs() + SKIP_MS);
    }
    return result;
  }

  #isSkipped(vmId: VmId): boolean {
    const untilMs = this.#skippedUntilMs.get(vmId);
    return untilMs !== undefined && this.#options.clock.nowMs() < untilMs;
  }

  /** How long a healthy platform or peer needs at most. */
  #answerMs(): number {
    return this.#options.settings.gather_max_ms + HEALTHY_ANSWER_MS;
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
      !member.isSelf && member.vmId !== alreadyAsked &&
      !this.#isSkipped(member.vmId)
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

/** "unavailable" only if all are. */
async function firstUsable(
  attempts: readonly Promise<OperationResult>[],
): Promise<OperationResult> {
  const usable = attempts.map(async (attempt) => {
    const result = await attempt;
    if (result.kind === "unavailable") throw new UnavailableError();
    return result;
  });
  try {
    return await Promise.any(usable);
  } catch (error) {
    if (error instanceof AggregateError) return UNAVAILABLE;
    throw error;
  }
}

/** Marks an attempt that somebody else may still make up for. */
class UnavailableError extends Error {
  override readonly name = "UnavailableError";
}
