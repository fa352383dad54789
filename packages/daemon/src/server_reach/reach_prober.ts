/**
 * Finds out which backend servers this VM is cut off from, and when they are
 * reached again.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { CallSilence } from "./call_silence.js";
import type { ReachInquiry } from "./reach_inquiry.js";
import type { ServerReach } from "./server_reach.js";
import type { ConnectionProbe } from "./tcp_probe.js";

const TICK_MS = 100;
/** Interval at which a server that is cut off is probed. */
const CUT_OFF_PROBE_INTERVAL_MS = 500;
/** Limits the probes that start in a tick. */
const MAX_PROBES_PER_TICK = 8;
/**
 * Servers of a service for which peers are asked. Others that this VM doesn't
 * reach either are taken for cut off.
 */
const CONFIRMED_SERVERS_PER_SERVICE = 2;

export interface ReachProberOptions {
  readonly reach: ServerReach;
  readonly register: ServerRegister;
  readonly inquiry: ReachInquiry;
  readonly silence: CallSilence;
  readonly probe: ConnectionProbe;
  readonly clock: Clock;
}

export class ReachProber {
  readonly #options: ReachProberOptions;
  readonly #probing = new Set<BackendServerId>();
  /** Servers that peers have to confirm whatever is known of others. */
  readonly #toConfirm = new Set<BackendServerId>();
  readonly #probedAtMs = new Map<BackendServerId, number>();
  /** Servers to probe as others were found to be cut off, or to return. */
  readonly #queue = new Map<BackendServerId, RegisteredServer>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: ReachProberOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_MS);
    this.#timer.unref();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Checks a server to which a connection has failed. */
  handleSuspected(server: RegisteredServer): void {
    void this.#verify(server);
  }

  /** A peer that was to call the server didn't reach it. */
  handleUnreachedByPeer(server: RegisteredServer): void {
    this.#toConfirm.add(server.id);
    this.#options.reach.recordUnreachedByPeer(server);
  }

  /** The server or the path to it has closed a connection in use. */
  handleBroken(server: RegisteredServer): void {
    this.#queue.set(server.id, server);
  }

  /** Others may be cut off too. */
  handleCutOff(): void {
    const { register, reach } = this.#options;
    for (const server of register.allServers()) {
      if (reach.stateOf(server.id) !== undefined) continue;
      this.#queue.set(server.id, server);
    }
  }

  /** Others may be reached again too. */
  handleReturned(): void {
    for (const server of this.#options.reach.serversOfKind("cutOff")) {
      this.#queue.set(server.id, server);
    }
  }

  /** A server that is new during a cut is suspected until it was reached. */
  handleAdded(server: RegisteredServer): void {
    const { reach } = this.#options;
    if (reach.serversOfKind("cutOff").length === 0) return;
    reach.recordFailedConnection(server, "addedDuringCut");
  }

  forget(id: BackendServerId): void {
    this.#probedAtMs.delete(id);
    this.#toConfirm.delete(id);
    this.#queue.delete(id);
  }

  #tick(): void {
    const { reach, silence, clock } = this.#options;
    const nowMs = clock.nowMs();
    reach.expire(nowMs);
    for (const server of silence.takeSilentServers(nowMs)) {
      void this.#probe(server);
    }
    const due = [...this.#queue.values(), ...this.#dueCutOffServers(nowMs)];
    for (const server of due.slice(0, MAX_PROBES_PER_TICK)) {
      this.#queue.delete(server.id);
      void this.#probe(server);
    }
  }

  #dueCutOffServers(nowMs: number): RegisteredServer[] {
    return this.#options.reach.serversOfKind("cutOff").filter(({ id }) =>
      nowMs - (this.#probedAtMs.get(id) ?? -Infinity) >=
        CUT_OFF_PROBE_INTERVAL_MS
    );
  }

  async #probe(server: RegisteredServer): Promise<void> {
    const { reach, clock } = this.#options;
    if (this.#probing.has(server.id)) return;
    this.#probing.add(server.id);
    this.#probedAtMs.set(server.id, clock.nowMs());
    const isReached = await this.#options.probe(server);
    this.#probing.delete(server.id);
    if (!this.#isRegistered(server)) return;
    if (isReached) reach.recordConnection(server);
    else reach.recordFailedConnection(server, "probe");
  }

  async #verify(server: RegisteredServer): Promise<void> {
    const { reach, inquiry, probe } = this.#options;
    if (this.#hasConfirmedServers(server)) {
      if (await probe(server)) reach.recordConnection(server);
      else if (this.#isSuspected(server)) reach.recordCutOff(server, undefined);
      return;
    }
    const [isReached, peer] = await Promise.all([
      probe(server),
      inquiry.findPeer(server),
    ]);
    this.#toConfirm.delete(server.id);
    if (!this.#isSuspected(server)) return;
    if (isReached) reach.recordConnection(server);
    else if (peer === undefined) reach.recordDown(server);
    else reach.recordCutOff(server, peer);
  }

  #hasConfirmedServers({ id, service }: RegisteredServer): boolean {
    if (this.#toConfirm.has(id)) return false;
    const confirmed = this.#options.reach.serversOfKind("cutOff")
      .filter((server) => server.service === service);
    return confirmed.length >= CONFIRMED_SERVERS_PER_SERVICE;
  }

  #isSuspected(server: RegisteredServer): boolean {
    return this.#isRegistered(server) &&
      this.#options.reach.stateOf(server.id)?.kind === "suspected";
  }

  #isRegistered(server: RegisteredServer): boolean {
    return this.#options.register.get(server.id) !== undefined;
  }
}
