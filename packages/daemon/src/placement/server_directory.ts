/**
 * Joins the register with what this VM has seen of each server, and applies
 * this VM's share of the limits that all VMs keep together.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { ServerRegister } from "../register/server_register.js";
import type { RoutedService } from "../routing/routing_configuration.js";
import { chooseServer, type ServerCandidate } from "./choose_server.js";
import { ServerHealth } from "./server_health.js";
import {
  type RetryBudgetLimits,
  SlidingRetryBudget,
} from "./sliding_retry_budget.js";

/** The platform's bounds on what all VMs do together. */
export interface SharedLimits {
  readonly retries: RetryBudgetLimits;
  /** Requests a second to a cold server, as a multiple of what it names. */
  readonly coldOverage: number;
  /** Requests a second to a cold server beyond that. */
  readonly coldSlack: number;
}

export interface ServerDirectoryOptions {
  readonly register: ServerRegister;
  readonly limits: () => SharedLimits;
  readonly findService: (name: ServiceName) => RoutedService | undefined;
  readonly vmCount: () => number;
}

export interface PlacementNeed {
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
  readonly prefixKey: string | undefined;
  readonly excluded: ReadonlySet<BackendServerId>;
}

/** Part of the cold limit that is used, as VMs may join unseen. */
const COLD_SHARE = 0.8;
/** Connections to one server beyond which more are of no use. */
const MOST_CONNECTIONS = 64;

export class ServerDirectory {
  readonly #options: ServerDirectoryOptions;
  readonly #health = new Map<BackendServerId, ServerHealth>();
  readonly #budgets = new Map<ServiceName, SlidingRetryBudget>();

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
  }

  /** The server for one request; counts against a cold server's limit. */
  pick(need: PlacementNeed, nowMs: number): ServerCandidate | undefined {
    const choice = this.choose(need, nowMs);
    if (choice !== undefined && nowMs < choice.server.coldUntilMs) {
      choice.health.noteColdStart(nowMs);
    }
    return choice;
  }

  /** The server that a request would get now; counts nothing. */
  choose(need: PlacementNeed, nowMs: number): ServerCandidate | undefined {
    const candidates = this.#options.register.usable(need.service)
      .filter((server) => !need.excluded.has(server.id))
      .map((server) => ({ server, health: this.healthOf(server.id) }));
    return chooseServer({
      candidates,
      dataCentre: need.dataCentre,
      prefixKey: need.prefixKey,
      coldQuota: this.#coldQuota(need.service),
      nowMs,
    });
  }

  healthOf(id: BackendServerId): ServerHealth {
    let health = this.#health.get(id);
    if (health === undefined) {
      health = new ServerHealth();
      this.#health.set(id, health);
    }
    return health;
  }

  forget(id: BackendServerId): void {
    this.#health.delete(id);
  }

  retryBudgetOf(service: ServiceName): SlidingRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new SlidingRetryBudget(
        () => this.#options.limits().retries,
        () => 1 / this.#options.vmCount(),
      );
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Connections that this VM may have to one server of the service. */
  connectionShare(service: ServiceName): number {
    const limit = this.#options.findService(service)?.connectionLimit ??
      MOST_CONNECTIONS;
    const share = Math.floor(limit / this.#options.vmCount());
    return Math.max(1, Math.min(MOST_CONNECTIONS, share));
  }

  #coldQuota(service: ServiceName): number {
    const perSecond = this.#options.findService(service)
      ?.coldRequestsPerSecond ?? 0;
    if (perSecond <= 0) return Infinity;
    const { coldOverage, coldSlack } = this.#options.limits();
    const limit = perSecond * coldOverage + coldSlack;
    return Math.floor(limit * COLD_SHARE / this.#options.vmCount());
  }
}
