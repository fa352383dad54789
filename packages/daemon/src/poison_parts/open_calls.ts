/**
 * The calls in flight, by server process.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { CallObservation, ObservedCall } from "./call_observation.js";
import { processKey } from "./crash_ledger.js";

/**
 * A server that is still alive this long after the first event hasn't crashed
 * under the call.
 */
const PROOF_MS = 500;

/** The end of a server process, as seen from this VM. */
export interface ObservedCrash {
  readonly call: ObservedCall;
  readonly ageOfCallMs: number;
  /** Whether the call itself had been found sound. */
  readonly isProven: boolean;
  /** The calls to the process that haven't been found sound. */
  readonly unprovenCalls: readonly ObservedCall[];
}

export interface OpenCallsOptions {
  readonly clock: Clock;
  /** @param soundAtMs when the server was seen to write the response */
  readonly onProven: (call: ObservedCall, soundAtMs: number) => void;
  readonly onCrash: (crash: ObservedCrash) => void;
  readonly onEnded: (call: ObservedCall) => void;
}

interface OpenCall extends ObservedCall {
  readonly startedAtMs: number;
  firstEventAtMs: number | undefined;
  isProven: boolean;
  hasEnded: boolean;
}

export class OpenCalls {
  readonly #options: OpenCallsOptions;
  /** Only calls that haven't been found sound. */
  readonly #unproven = new Map<string, Set<OpenCall>>();

  constructor(options: OpenCallsOptions) {
    this.#options = options;
  }

  add(observed: ObservedCall): CallObservation {
    const call: OpenCall = {
      ...observed,
      startedAtMs: this.#options.clock.nowMs(),
      firstEventAtMs: undefined,
      isProven: false,
      hasEnded: false,
    };
    const key = processKey(call.server.id, call.server.startedAt);
    const calls = this.#unproven.get(key) ?? new Set<OpenCall>();
    this.#unproven.set(key, calls.add(call));
    return {
      recordEvent: () => {
        this.#recordEvent(call);
      },
      recordComplete: () => {
        if (call.hasEnded) return;
        this.#prove(call, call.firstEventAtMs ?? this.#options.clock.nowMs());
        this.#end(call);
      },
      recordCrash: () => {
        if (call.hasEnded) return;
        this.#reportCrash(call);
        this.#end(call);
      },
      end: () => {
        if (!call.hasEnded) this.#end(call);
      },
    };
  }

  /** Only an event shows that the server is alive, so no timer is needed. */
  #recordEvent(call: OpenCall): void {
    if (call.isProven || call.hasEnded) return;
    const nowMs = this.#options.clock.nowMs();
    call.firstEventAtMs ??= nowMs;
    if (nowMs - call.firstEventAtMs < PROOF_MS) return;
    this.#prove(call, call.firstEventAtMs);
  }

  #prove(call: OpenCall, soundAtMs: number): void {
    if (call.isProven) return;
    call.isProven = true;
    this.#remove(call);
    this.#options.onProven(call, soundAtMs);
  }

  #reportCrash(call: OpenCall): void {
    const { server, startedAtMs, isProven } = call;
    const key = processKey(server.id, server.startedAt);
    this.#options.onCrash({
      call,
      ageOfCallMs: this.#options.clock.nowMs() - startedAtMs,
      isProven,
      unprovenCalls: [...this.#unproven.get(key) ?? []],
    });
  }

  #end(call: OpenCall): void {
    call.hasEnded = true;
    this.#remove(call);
    this.#options.onEnded(call);
  }

  #remove(call: OpenCall): void {
    const key = processKey(call.server.id, call.server.startedAt);
    const calls = this.#unproven.get(key);
    if (calls === undefined) return;
    calls.delete(call);
    if (calls.size === 0) this.#unproven.delete(key);
  }
}
