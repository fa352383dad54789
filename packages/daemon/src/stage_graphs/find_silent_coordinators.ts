/**
 * Finds the coordinators that no longer announce themselves.
 *
 * Load pattern: a coordinator freezes or is cut off while it runs the graphs of
 * many VMs. Its connections stay open, and VMs of other data centres get its
 * heartbeats rarely.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { CoordinatorSelector } from "./coordinator_selector.js";
import type { PendingGraph } from "./pending_graph.js";

export interface SilentCoordinatorsQuery {
  readonly graphs: Iterable<PendingGraph>;
  readonly selector: CoordinatorSelector;
  readonly self: VmId;
  /** When this process last went on after a pause. */
  readonly resumedAtMs: number;
  readonly nowMs: number;
}

/**
 * Returns the silent coordinators of unfinished graphs.
 *
 * @example
 * ```ts
 * for (const vmId of findSilentCoordinators(query)) resubmitFrom(vmId);
 * ```
 */
export function findSilentCoordinators(
  query: SilentCoordinatorsQuery,
): Set<VmId> {
  const { graphs, selector, self, resumedAtMs, nowMs } = query;
  const silent = new Set<VmId>();
  for (const { group, coordinator, isSettled, submittedAtMs } of graphs) {
    if (isSettled || coordinator === self) continue;
    const listeningSinceMs = Math.max(submittedAtMs, resumedAtMs);
    if (selector.isSilent(group, coordinator, { listeningSinceMs, nowMs })) {
      silent.add(coordinator);
    }
  }
  return silent;
}
