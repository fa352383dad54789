/**
 * Asks peers whether they reach a backend server, and answers them.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { RelayPeers } from "./relay_peers.js";
import type { ServerReach } from "./server_reach.js";
import type { ConnectionProbe } from "./tcp_probe.js";

/** Longer than a peer's probe takes. */
const REPLY_TIMEOUT_MS = 450;
/** Peers that are asked one after the other. */
const MAX_PEERS_ASKED = 2;

export interface ReachInquiryOptions {
  readonly network: PeerNetwork;
  readonly peers: RelayPeers;
  readonly register: ServerRegister;
  readonly reach: ServerReach;
  readonly probe: ConnectionProbe;
  readonly clock: Clock;
}

type Answer = "reached" | "notReached" | "noReply";

export class ReachInquiry {
  readonly #options: ReachInquiryOptions;
  readonly #pending = new Map<number, (answer: Answer) => void>();
  /** Probes in progress, shared by all VMs that ask. */
  readonly #probes = new Map<BackendServerId, Promise<boolean>>();
  #lastRequestNumber = 0;

  constructor(options: ReachInquiryOptions) {
    this.#options = options;
    const { network } = options;
    network.messages.on("serverReachRequest", ({ from, message }) => {
      void this.#reply(from.vmId, message);
    });
    network.messages.on("serverReachReply", ({ message }) => {
      const answer = message.isReached ? "reached" : "notReached";
      this.#pending.get(message.requestNumber)?.(answer);
    });
  }

  /** Resolves with a VM that reaches the server; undefined if none does. */
  async findPeer(server: RegisteredServer): Promise<VmId | undefined> {
    const asked: VmId[] = [];
    while (asked.length < MAX_PEERS_ASKED) {
      const peer = this.#options.peers.choose(server.service, asked);
      if (peer === undefined) return undefined;
      asked.push(peer);
      if (await this.#ask(peer, server.id) === "reached") return peer;
    }
    return undefined;
  }

  async #ask(peer: VmId, id: BackendServerId): Promise<Answer> {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const isSent = this.#options.network.send(peer, {
      type: "serverReachRequest",
      requestNumber,
      backendServerId: id,
    });
    if (!isSent) return "noReply";
    let timer: NodeJS.Timeout | undefined;
    const answer = await new Promise<Answer>((resolve) => {
      timer = setTimeout(() => {
        resolve("noReply");
      }, REPLY_TIMEOUT_MS);
      this.#pending.set(requestNumber, resolve);
    });
    clearTimeout(timer);
    this.#pending.delete(requestNumber);
    return answer;
  }

  async #reply(
    to: VmId,
    { requestNumber, backendServerId }: {
      readonly requestNumber: number;
      readonly backendServerId: BackendServerId;
    },
  ): Promise<void> {
    const isReached = await this.#isReached(backendServerId);
    this.#options.network.send(to, {
      type: "serverReachReply",
      requestNumber,
      isReached,
    });
  }

  async #isReached(id: BackendServerId): Promise<boolean> {
    const { register, reach, clock } = this.#options;
    const server = register.get(id);
    if (server === undefined) return false;
    if (reach.isKnownReached(id, clock.nowMs())) return true;
    let probe = this.#probes.get(id);
    if (probe === undefined) {
      probe = this.#options.probe(server);
      this.#probes.set(id, probe);
    }
    const isReached = await probe;
    this.#probes.delete(id);
    if (isReached) reach.recordConnection(server);
    return isReached;
  }
}
