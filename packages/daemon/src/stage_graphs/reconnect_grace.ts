/**
 * Waits for disconnected peers to reconnect, as a connection may only have been
 * reset. Until then a peer's jobs here and this VM's graphs there keep running.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";

export interface ReconnectGraceOptions {
  /** This VM's graphs at the peer are to be submitted elsewhere. */
  readonly onCoordinatorLost: (vmId: VmId) => void;
  /** The peer's jobs here are to be canceled. */
  readonly onOwnerLost: (vmId: VmId) => void;
}

/**
 * Time for a reset connection to come back before its graphs are resubmitted;
 * the coordinator continues to run them in the meantime.
 */
const RECONNECT_GRACE_MS = 500;
/** Jobs of an owner that stays disconnected for longer are canceled. */
const OWNER_GRACE_MS = 1500;

export class ReconnectGrace {
  readonly #options: ReconnectGraceOptions;
  readonly #timers = new Map<VmId, readonly NodeJS.Timeout[]>();

  constructor(options: ReconnectGraceOptions) {
    this.#options = options;
  }

  start(vmId: VmId): void {
    const { onCoordinatorLost, onOwnerLost } = this.#options;
    this.cancel(vmId);
    this.#timers.set(vmId, [
      setTimeout(onCoordinatorLost, RECONNECT_GRACE_MS, vmId),
      setTimeout(onOwnerLost, OWNER_GRACE_MS, vmId),
    ]);
  }

  cancel(vmId: VmId): void {
    for (const timer of this.#timers.get(vmId) ?? []) clearTimeout(timer);
    this.#timers.delete(vmId);
  }

  close(): void {
    for (const vmId of [...this.#timers.keys()]) this.cancel(vmId);
  }
}
