/**
 * The platform's list of live and leaving VMs, which shows changes late.
 *
 * @module
 */

import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";

interface PendingList {
  readonly shownAtMs: number;
  readonly vms: readonly ListedVm[];
}

/** A list whose changes appear only after their time. */
export class VmList {
  #shown: readonly ListedVm[];
  #pending: PendingList[] = [];

  constructor(vms: readonly ListedVm[]) {
    this.#shown = vms;
  }

  set(vms: readonly ListedVm[], shownAtMs: number): void {
    this.#pending.push({ shownAtMs, vms });
  }

  shown(nowMs: number): readonly ListedVm[] {
    for (const pending of this.#pending) {
      if (pending.shownAtMs <= nowMs) this.#shown = pending.vms;
    }
    this.#pending = this.#pending.filter((list) => list.shownAtMs > nowMs);
    return this.#shown;
  }
}
