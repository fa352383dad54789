/**
 * Selects entry VMs as the platform's load balancer does: round robin over
 * those whose readiness probe returns 200.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";

const PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 1000;

export interface VmEndpoint {
  readonly vmId: string;
  readonly baseUrl: string;
}

/**
 * A round-robin load balancer over the ready entry VMs.
 *
 * @example
 * ```ts
 * const balancer = new LoadBalancer(vms, dispatcher);
 * balancer.start();
 * const vm = balancer.selectVm();
 * ```
 */
export class LoadBalancer {
  readonly #vms: readonly VmEndpoint[];
  readonly #dispatcher: Dispatcher;
  readonly #readyVmIds = new Set<string>();
  #nextIndex = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(vms: readonly VmEndpoint[], dispatcher: Dispatcher) {
    this.#vms = vms;
    this.#dispatcher = dispatcher;
  }

  get readyCount(): number {
    return this.#readyVmIds.size;
  }

  start(): void {
    this.#timer = setInterval(() => void this.probe(), PROBE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Probes the readiness of every entry VM once. */
  async probe(): Promise<void> {
    await Promise.all(this.#vms.map((vm) => this.#probeOne(vm)));
  }

  /** The next ready entry VM; undefined while none is ready. */
  selectVm(): VmEndpoint | undefined {
    for (let attempts = 0; attempts < this.#vms.length; attempts += 1) {
      const vm = this.#vms[this.#nextIndex % this.#vms.length];
      this.#nextIndex += 1;
      if (vm !== undefined && this.#readyVmIds.has(vm.vmId)) return vm;
    }
    return undefined;
  }

  /** Excludes the VM until its next successful probe. */
  markFailed(vmId: string): void {
    this.#readyVmIds.delete(vmId);
  }

  async #probeOne(vm: VmEndpoint): Promise<void> {
    try {
      const response = await request(`${vm.baseUrl}/readyz`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await response.body.dump();
      if (response.statusCode === 200) this.#readyVmIds.add(vm.vmId);
      else this.#readyVmIds.delete(vm.vmId);
    } catch {
      this.#readyVmIds.delete(vm.vmId);
    }
  }
}
