/**
 * Chooses the VMs that make calls for this one.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { PeerNetwork } from "../peers/peer_network.js";

/** Time for which a VM that refused a call isn't asked again. */
const REFUSAL_BACKOFF_MS = 250;

export interface RelayPeersOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Returns a number of at least 0 and less than 1. */
  readonly random: () => number;
}

export class RelayPeers {
  readonly #options: RelayPeersOptions;
  readonly #callsInFlight = new Map<VmId, number>();
  readonly #refusedUntilMs = new Map<VmId, number>();

  constructor(options: RelayPeersOptions) {
    this.#options = options;
  }

  /**
   * Draws two VMs that reach the service and returns the one that makes fewer
   * calls for this VM; undefined if there is none.
   */
  choose(
    service: ServiceName,
    excluded: readonly VmId[],
  ): VmId | undefined {
    const candidates = this.#candidates(service)
      .filter((vmId) => !excluded.includes(vmId));
    const first = this.#draw(candidates);
    const second = this.#draw(candidates);
    if (first === undefined || second === undefined) return undefined;
    return this.#inFlight(second) < this.#inFlight(first) ? second : first;
  }

  recordStart(vmId: VmId): void {
    this.#callsInFlight.set(vmId, this.#inFlight(vmId) + 1);
  }

  recordEnd(vmId: VmId): void {
    this.#callsInFlight.set(vmId, Math.max(0, this.#inFlight(vmId) - 1));
  }

  recordRefusal(vmId: VmId): void {
    const nowMs = this.#options.clock.nowMs();
    this.#refusedUntilMs.set(vmId, nowMs + REFUSAL_BACKOFF_MS);
  }

  #candidates(service: ServiceName): VmId[] {
    const { network, clock } = this.#options;
    const nowMs = clock.nowMs();
    return network.view(nowMs).members.filter((member) =>
      !member.isSelf && member.state === "live" &&
      member.relaysCalls === true &&
      member.cutOffServices?.includes(service) !== true &&
      nowMs >= (this.#refusedUntilMs.get(member.vmId) ?? 0)
    ).map(({ vmId }) => vmId);
  }

  #draw(candidates: readonly VmId[]): VmId | undefined {
    return candidates[Math.floor(this.#options.random() * candidates.length)];
  }

  #inFlight(vmId: VmId): number {
    return this.#callsInFlight.get(vmId) ?? 0;
  }
}
