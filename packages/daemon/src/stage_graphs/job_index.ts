/**
 * The unfinished jobs of a scheduler, by id and by service.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type { StageJob } from "./stage_job.js";

export class JobIndex {
  readonly #byId = new Map<string, StageJob>();
  readonly #byService = new Map<ServiceName, Set<StageJob>>();

  get size(): number {
    return this.#byId.size;
  }

  /** Number of items of all jobs that are not part of a call. */
  get waitingItemCount(): number {
    let count = 0;
    for (const job of this.#byId.values()) count += job.waitingItemCount;
    return count;
  }

  get(id: string): StageJob | undefined {
    return this.#byId.get(id);
  }

  all(): Iterable<StageJob> {
    return this.#byId.values();
  }

  ownedBy(vmId: VmId): StageJob[] {
    return [...this.#byId.values()].filter((job) => job.owner === vmId);
  }

  /** The services that any job uses. */
  services(): ServiceName[] {
    return [...this.#byService.keys()];
  }

  usersOf(service: ServiceName): Iterable<StageJob> {
    return this.#byService.get(service) ?? [];
  }

  add(job: StageJob): void {
    this.#byId.set(job.id, job);
    for (const service of job.services) {
      const users = this.#byService.get(service) ?? new Set<StageJob>();
      users.add(job);
      this.#byService.set(service, users);
    }
  }

  remove(job: StageJob): void {
    this.#byId.delete(job.id);
    for (const service of job.services) {
      const users = this.#byService.get(service);
      users?.delete(job);
      if (users?.size === 0) this.#byService.delete(service);
    }
  }
}
