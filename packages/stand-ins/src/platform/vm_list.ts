/**
 * The platform's list of live and leaving VMs, with delayed changes.
 *
 * @module
 */

import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";

interface PendingList {
  readonly visibleAtMs: number;
  readonly vms: readonly ListedVm[];
}

/** A VM list whose changes become visible at a given time. */
export class VmList {
  #visible: readonly ListedVm[];
  #pending: PendingList[] = [];

  constructor(vms: readonly ListedVm[]) {
    this.#visible = vms;
  }

  set(vms: readonly ListedVm[], visibleAtMs: number): void {
    this.#pending.push({ visibleAtMs, vms });
  }

  visibleAt(nowMs: number): readonly ListedVm[] {
    for (const pending of this.#pending) {
      if (pending.visibleAtMs <= nowMs) this.#visible = pending.vms;
    }
    this.#pending = this.#pending.filter((list) => list.visibleAtMs > nowMs);
    return this.#visible;
  }
}
