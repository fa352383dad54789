/**
 * Creates the stage caller, the entry point to all backend server adapters.
 *
 * @module
 */

import { Agent } from "undici";
import type { Clock } from "../clock.js";
import { ModelEngineCaller } from "./model_engine_caller.js";
import { PlainServiceCaller } from "./plain_service_caller.js";
import type { CallResult, StageCall, StageCaller } from "./stage_call.js";

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 4000;

export interface StageCallerOptions {
  readonly clock: Clock;
  /** Local address of the connections; chosen by the kernel by default. */
  readonly sourceAddress?: string | undefined;
}

export interface RunningStageCaller extends StageCaller {
  close(): Promise<void>;
}

/** Exceeds the largest output of a stage. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/**
 * Creates a caller that selects the adapter by the kind of service.
 *
 * @example
 * ```ts
 * const caller = createStageCaller({ clock: MONOTONIC_CLOCK });
 * ```
 */
export function createStageCaller(
  options: StageCallerOptions,
): RunningStageCaller {
  const { clock, sourceAddress } = options;
  const dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
    keepAliveTimeout: KEEP_ALIVE_MS,
    // Disabled because the signal of each call enforces its deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BYTES,
    pipelining: 1,
  });
  const plainServiceCaller = new PlainServiceCaller(dispatcher);
  const modelEngineCaller = new ModelEngineCaller({ dispatcher, clock });

  function call(call: StageCall, signal: AbortSignal): Promise<CallResult> {
    switch (call.service.kind) {
      case "plain":
        return plainServiceCaller.call(call, signal);
      case "modelEngine":
        return modelEngineCaller.call(call, signal);
    }
  }

  return { call, close: () => dispatcher.destroy() };
}
