/**
 * Chooses entry VMs as the platform's balancer does: round robin over those
 * whose readiness probe answers 200.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";

const PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 1000;

export interface BalancedVm {
  readonly vmId: string;
  readonly baseUrl: string;
}

/**
 * Round robin over the ready entry VMs.
 *
 * @example
 * ```ts
 * const balancer = new Balancer(vms, dispatcher);
 * balancer.start();
 * const vm = balancer.choose();
 * ```
 */
export class Balancer {
  readonly #vms: readonly BalancedVm[];
  readonly #dispatcher: Dispatcher;
  readonly #ready = new Set<string>();
  #next = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(vms: readonly BalancedVm[], dispatcher: Dispatcher) {
    this.#vms = vms;
    this.#dispatcher = dispatcher;
  }

  get readyCount(): number {
    return this.#ready.size;
  }

  start(): void {
    this.#timer = setInterval(() => void this.probe(), PROBE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Asks every entry VM once. */
  async probe(): Promise<void> {
    await Promise.all(this.#vms.map((vm) => this.#probeOne(vm)));
  }

  /** The next ready entry VM; undefined while none is ready. */
  choose(): BalancedVm | undefined {
    for (let tried = 0; tried < this.#vms.length; tried += 1) {
      const vm = this.#vms[this.#next % this.#vms.length];
      this.#next += 1;
      if (vm !== undefined && this.#ready.has(vm.vmId)) return vm;
    }
    return undefined;
  }

  /** Leaves the VM out until its next good probe. */
  markFailed(vmId: string): void {
    this.#ready.delete(vmId);
  }

  async #probeOne(vm: BalancedVm): Promise<void> {
    try {
      const response = await request(`${vm.baseUrl}/readyz`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await response.body.dump();
      if (response.statusCode === 200) this.#ready.add(vm.vmId);
      else this.#ready.delete(vm.vmId);
    } catch {
      this.#ready.delete(vm.vmId);
    }
  }
}
