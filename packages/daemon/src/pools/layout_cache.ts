/**
 * Caches what is derived from the configuration and the platform's VM list
 * until either changes.
 *
 * @module
 */

import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import type { ConfigurationSource } from "../configuration/configuration_source.js";
import {
  buildPoolLayout,
  type PoolLayout,
  readVmAvailability,
  type VmAvailability,
} from "./pool_layout.js";

const EMPTY_LAYOUT: PoolLayout = {
  generation: 0,
  pools: new Map(),
  poolsByService: new Map(),
  dataCentresOut: new Set(),
  serversOut: new Set(),
  shares: new Map(),
  longestDeadlinesMs: new Map(),
};

export interface LayoutSources {
  readonly configuration: ConfigurationSource;
  readonly listedVms: () => VmListing | undefined;
}

/** The current layout and VM availability, computed once for each change. */
export class LayoutCache {
  readonly #sources: LayoutSources;
  #layout = EMPTY_LAYOUT;
  #listing: VmListing | undefined;
  #vms = readVmAvailability(undefined);

  constructor(sources: LayoutSources) {
    this.#sources = sources;
  }

  layout(): PoolLayout {
    const configuration = this.#sources.configuration.current();
    if (configuration === undefined) return this.#layout;
    if (configuration.generation !== this.#layout.generation) {
      this.#layout = buildPoolLayout(configuration);
    }
    return this.#layout;
  }

  listing(): VmListing | undefined {
    return this.#sources.listedVms();
  }

  vms(): VmAvailability {
    const listing = this.#sources.listedVms();
    if (listing !== this.#listing) {
      this.#listing = listing;
      this.#vms = readVmAvailability(listing);
    }
    return this.#vms;
  }
}
