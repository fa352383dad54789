/**
 * Assigns a server to a request, and waits if no model engine has enough memory
 * left for it.
 *
 * Load pattern: engines that crash if the requests that they hold exceed their
 * memory. In a burst, a request waits for a part of its objective, as others
 * end all the time, and is then refused as not run.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { ServerCandidate } from "../placement/choose_server.js";
import type { PlacementRequest } from "../placement/server_directory.js";
import type { ForwardContext } from "./forward_context.js";

/** Longest wait of a request that hasn't run, as a fraction of its objective. */
const MAX_WAIT_FRACTION = 0.25;
/**
 * Longest wait of a stream that goes on, as a fraction of its remaining time: it
 * can't be refused any more, and what it has received would be lost.
 */
const MAX_RESUMPTION_WAIT_FRACTION = 0.5;
const CHECK_INTERVAL_MS = 40;

export interface MemoryWait {
  readonly placement: PlacementRequest;
  /** Whether a server may have run the request. */
  readonly hasRun: boolean;
}

/**
 * Returns "full" if no engine has had memory left in time, and "ended" if the
 * request's lifetime ended while it waited.
 */
export async function assignWithMemory(
  context: ForwardContext,
  { placement, hasRun }: MemoryWait,
): Promise<ServerCandidate | "full" | "ended" | undefined> {
  const { environment, lifetime, route } = context;
  const { clock, directory, metrics } = environment;
  const startedAtMs = clock.nowMs();
  const maxWaitMs = hasRun
    ? lifetime.remainingMs() * MAX_RESUMPTION_WAIT_FRACTION
    : route.objectiveMs * MAX_WAIT_FRACTION;
  let isWaiting = false;
  for (;;) {
    if (!directory.lacksMemory(placement)) {
      const candidate = await directory.assign(placement);
      // A report may have shown in the meantime that the engines are full.
      if (candidate !== undefined || !directory.lacksMemory(placement)) {
        return candidate;
      }
    }
    const waitedMs = clock.nowMs() - startedAtMs;
    if (waitedMs >= maxWaitMs) {
      recordFull(context, waitedMs);
      return "full";
    }
    if (!isWaiting) metrics.countEvent("engineMemoryWait");
    isWaiting = true;
    await sleep(CHECK_INTERVAL_MS);
    if (lifetime.end !== undefined) return "ended";
  }
}

function recordFull(context: ForwardContext, waitedMs: number): void {
  const { environment, request, service } = context;
  environment.metrics.countEvent("engineMemoryFull");
  environment.logger.info("engineMemoryFull", {
    request: request.attemptId,
    service,
    inputTokens: request.prompt?.inputTokens,
    maxOutputTokens: request.prompt?.maxOutputTokens,
    waitedMs: Math.round(waitedMs),
  });
}
