/**
 * Simulated servers of a stage service that differ in speed, whose machines slow
 * down several times a second, and that another coordinator uses too. Each works
 * on one call at a time, in the order of arrival.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RegisteredServer } from "../../register/server_register.js";
import type { LoadStatement } from "../../server_load/server_load.js";
import type { BatchLimits } from "../../routing/routing_configuration.js";
import { nominalCallMs } from "../batch_server.js";

export interface SharedServersOptions {
  readonly seed: number;
  readonly figures: "three" | "four";
  readonly slowdowns: readonly [low: number, high: number];
  /** Factor on what is stated, if the servers lie. */
  readonly falseFactor?: number;
}

/** The simulation's clock and events. */
export interface SimulatedTime {
  readonly nowMs: number;
  at(atMs: number, action: () => void): void;
}

interface Call {
  readonly arrivedAtMs: number;
  readonly startsAtMs: number;
  readonly endsAtMs: number;
  readonly isOwn: boolean;
}

interface SharedServer {
  readonly speed: number;
  /** The slowdown in each period. */
  readonly slowdowns: number[];
  calls: Call[];
}

const MIN_SPEED = 0.55;
const MAX_SPEED = 1.3;
const SLOWDOWN_PERIOD_MS = 200;
const STEP_MS = 5;
const OTHERS_ITEMS = 4;

export class SharedStageServers {
  readonly #options: SharedServersOptions;
  readonly #random: () => number;
  readonly #servers = new Map<BackendServerId, SharedServer>();

  constructor(options: SharedServersOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
  }

  add(server: RegisteredServer, durationMs: number): void {
    const [low, high] = this.#options.slowdowns;
    this.#servers.set(server.id, {
      speed: MIN_SPEED + (MAX_SPEED - MIN_SPEED) * this.#random(),
      slowdowns: Array.from(
        { length: Math.ceil(durationMs / SLOWDOWN_PERIOD_MS) },
        () => low * (high / low) ** this.#random(),
      ),
      calls: [],
    });
  }

  /** Lets another coordinator make calls, at most one at a time per server. */
  addOthersCalls(
    stages: SimulatedTime,
    options: {
      readonly limits: BatchLimits;
      readonly callsPerSecond: number;
      readonly durationMs: number;
    },
  ): void {
    for (const id of this.#servers.keys()) {
      let atMs = 0;
      for (;;) {
        const gapMs = -Math.log(1 - this.#random()) * 1000 /
          options.callsPerSecond;
        atMs += gapMs;
        if (atMs >= options.durationMs) break;
        stages.at(atMs, () => {
          const { calls } = this.#get(id);
          const isBusy = calls.some((call) =>
            !call.isOwn && call.endsAtMs > stages.nowMs
          );
          if (isBusy) return;
          const workMs = nominalCallMs(options.limits, OTHERS_ITEMS);
          this.#begin(id, { workMs, nowMs: stages.nowMs, isOwn: false });
        });
      }
    }
  }

  /** Returns when a call that arrives now ends. */
  beginCall(server: RegisteredServer, workMs: number, nowMs: number): number {
    return this.#begin(server.id, { workMs, nowMs, isOwn: true });
  }

  statementOf({ id }: RegisteredServer, nowMs: number): LoadStatement {
    const server = this.#get(id);
    const { figures, falseFactor } = this.#options;
    const open = server.calls.filter((call) =>
      call.arrivedAtMs <= nowMs && call.endsAtMs >= nowMs
    );
    const running = open.filter((call) => call.startsAtMs <= nowMs).length;
    return {
      kind: "stated",
      load: {
        running,
        waiting: open.length - running,
        slots: 1,
        slowdown: figures === "three"
          ? undefined
          : slowdownAt(server, nowMs) * (falseFactor ?? 1),
      },
    };
  }

  #begin(
    id: BackendServerId,
    { workMs, nowMs, isOwn }: {
      readonly workMs: number;
      readonly nowMs: number;
      readonly isOwn: boolean;
    },
  ): number {
    const server = this.#get(id);
    const startsAtMs = Math.max(
      nowMs,
      ...server.calls.map(({ endsAtMs }) => endsAtMs),
    );
    let endsAtMs = startsAtMs;
    let leftMs = workMs;
    while (leftMs > 0) {
      leftMs -= STEP_MS * server.speed / slowdownAt(server, endsAtMs);
      endsAtMs += STEP_MS;
    }
    server.calls = server.calls.filter((call) => call.endsAtMs >= nowMs);
    server.calls.push({ arrivedAtMs: nowMs, startsAtMs, endsAtMs, isOwn });
    return endsAtMs;
  }

  #get(id: BackendServerId): SharedServer {
    const server = this.#servers.get(id);
    if (server === undefined) throw new Error(`No server ${id}`);
    return server;
  }
}

function slowdownAt({ slowdowns }: SharedServer, nowMs: number): number {
  const period = Math.floor(nowMs / SLOWDOWN_PERIOD_MS);
  return slowdowns[Math.min(period, slowdowns.length - 1)] ?? 1;
}
