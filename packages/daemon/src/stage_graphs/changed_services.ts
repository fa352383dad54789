/**
 * The services whose jobs or servers have changed since they were planned.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { StageJob } from "./stage_job.js";

export class ChangedServices {
  readonly #services = new Set<ServiceName>();

  add(service: ServiceName): void {
    this.#services.add(service);
  }

  /** Adds the services of the jobs' stages that have items ready to start. */
  addReadyStages(jobs: Iterable<StageJob>): void {
    for (const job of new Set(jobs)) {
      for (const position of job.readyStages()) {
        this.#services.add(job.stage(position).service);
      }
    }
  }

  addAll(services: Iterable<ServiceName>): void {
    for (const service of services) this.#services.add(service);
  }

  take(): ServiceName[] {
    const services = [...this.#services];
    this.#services.clear();
    return services;
  }
}
