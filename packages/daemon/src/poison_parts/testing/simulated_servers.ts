/**
 * Servers in simulated time that crash when they begin to run a request with a
 * certain part, and come back later.
 *
 * @module
 */

import {
  type BackendServerId,
  type SuspectId,
  toId,
} from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../../register/server_register.js";
import { makeReport } from "../../testing/stage_samples.js";

const FIRST_EVENT_MS = 60;
const SECOND_EVENT_MS = 700;
const COMPLETE_MS = 1000;
const RESTART_MS = 2000;
/** VMs notice the end of a process at slightly different times. */
const MAX_NOTICE_DELAY_MS = 20;

export interface SimulatedCall {
  readonly vmIndex: number;
  readonly parts: readonly SuspectId[];
  readonly onEvent: () => void;
  readonly onComplete: () => void;
  readonly onCrash: () => void;
}

interface SimulatedServer {
  readonly id: BackendServerId;
  startedAt: number;
  isUp: boolean;
  calls: Set<SimulatedCall>;
}

export class SimulatedServers {
  /** Requests with one of them crash the server. */
  readonly poison = new Set<SuspectId>();
  /** When servers crashed. */
  readonly crashesAtMs: number[] = [];
  readonly #servers: SimulatedServer[];
  readonly #nowMs: () => number;

  constructor(count: number, nowMs: () => number) {
    this.#nowMs = nowMs;
    this.#servers = Array.from({ length: count }, (_, index) => ({
      id: toId<BackendServerId>(`engine-${index}`),
      startedAt: 1,
      isUp: true,
      calls: new Set(),
    }));
  }

  /** @param random Between 0 and 1; undefined if all servers are down */
  choose(random: number): RegisteredServer | undefined {
    const up = this.#servers.filter(({ isUp }) => isUp);
    const server = up[Math.floor(random * up.length)];
    if (server === undefined) return undefined;
    const { id, startedAt } = server;
    return { ...makeReport(id, { startedAt }), coldUntilMs: 0 };
  }

  call(id: BackendServerId, call: SimulatedCall): void {
    const server = this.#servers.find((candidate) => candidate.id === id);
    if (server === undefined) return;
    server.calls.add(call);
    const running = { server, call };
    const isPoison = call.parts.some((part) => this.poison.has(part));
    this.#runLater(running, FIRST_EVENT_MS, () => {
      if (isPoison) this.#crash(server);
      else call.onEvent();
    });
    if (isPoison) return;
    this.#runLater(running, SECOND_EVENT_MS, call.onEvent);
    this.#runLater(running, COMPLETE_MS, () => {
      server.calls.delete(call);
      call.onComplete();
    });
  }

  /** Ends all server processes. */
  crashAll(): void {
    for (const server of this.#servers) this.#crash(server);
  }

  /** Breaks the calls of a VM, which takes that for the end of the servers. */
  breakCallsOf(vmIndex: number): void {
    for (const { calls } of this.#servers) {
      for (const call of [...calls]) {
        if (call.vmIndex !== vmIndex) continue;
        calls.delete(call);
        call.onCrash();
      }
    }
  }

  #runLater(
    { server, call }: {
      readonly server: SimulatedServer;
      readonly call: SimulatedCall;
    },
    delayMs: number,
    run: () => void,
  ): void {
    setTimeout(() => {
      if (server.calls.has(call)) run();
    }, delayMs);
  }

  #crash(server: SimulatedServer): void {
    if (!server.isUp) return;
    this.crashesAtMs.push(this.#nowMs());
    const { calls } = server;
    server.calls = new Set();
    server.isUp = false;
    for (const [index, call] of [...calls].entries()) {
      setTimeout(call.onCrash, (index * 5) % MAX_NOTICE_DELAY_MS);
    }
    setTimeout(() => {
      server.startedAt += 1;
      server.isUp = true;
    }, RESTART_MS);
  }
}
