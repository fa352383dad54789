/**
 * The coordinators of one graph that were lost and may still bring its outcome:
 * they go on for a while, and their links may come back.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { JOB_LIFETIME_AFTER_LOSS_MS } from "./reconnect_grace.js";

export class FormerCoordinators {
  readonly #untilMs = new Map<VmId, number>();

  /** Adds a coordinator that the graph is taken from. */
  add(vmId: VmId, nowMs: number): void {
    this.#untilMs.set(vmId, nowMs + JOB_LIFETIME_AFTER_LOSS_MS);
  }

  has(vmId: VmId): boolean {
    return this.#untilMs.has(vmId);
  }

  /** Returns whether the coordinator was among them. */
  remove(vmId: VmId): boolean {
    return this.#untilMs.delete(vmId);
  }

  all(): VmId[] {
    return [...this.#untilMs.keys()];
  }

  /**
   * Until when an outcome may still come; undefined if none will.
   *
   * @param isGone Whether the VM's process has ended
   */
  outcomeDueMs(
    isGone: (vmId: VmId) => boolean,
    nowMs: number,
  ): number | undefined {
    const dueTimesMs = [...this.#untilMs]
      .filter(([vmId, untilMs]) => untilMs > nowMs && !isGone(vmId))
      .map(([, untilMs]) => untilMs);
    return dueTimesMs.length === 0 ? undefined : Math.max(...dueTimesMs);
  }
}
