/**
 * What the caller of a request loses if it gets no retry.
 *
 * @module
 */

import { deferralCost } from "../overload/deferral_cost.js";
import type { ForwardContext } from "./forward_context.js";

/** A retry is the scarce resource, and each request needs one. */
const ONE_RETRY = 1;

/** Undefined with the overload policy `legacy`. */
export function retryWorth(context: ForwardContext): number | undefined {
  const { account, ageMs, environment, lifetime, request, route } = context;
  if (ageMs === undefined) return undefined;
  const nowMs = environment.clock.nowMs();
  const { routeStatistics } = environment;
  return deferralCost({
    priority: account?.priority ?? route.priority,
    relativeSize: routeStatistics.expectedRelativeSize(
      route.name,
      request.prompt,
    ),
    objectiveAtMs: request.receivedAtMs + route.objectiveMs - ageMs,
    deadlineAtMs: nowMs + lifetime.remainingMs(),
    pathMs: routeStatistics.firstByteMs(route.name),
    workLeftMs: ONE_RETRY,
    precedence: 1,
  }, { nowMs, turnMs: 1 }).refusal;
}
