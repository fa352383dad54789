/**
 * Combines the server register with this VM's health record of each server, and
 * applies this VM's share of the limits that hold across all VMs.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { PromptShape } from "../forwarding/routed_request.js";
import type { ServerRateLimits } from "../rate_limits/server_rate_limits.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { EngineMemories } from "../server_load/engine_memories.js";
import { type MemoryNeed, memoryNeedOf } from "../server_load/engine_memory.js";
import type { ServerLoads } from "../server_load/server_loads.js";
import { NO_ROLLOUTS, type RolloutGate } from "../rollouts/rollout_gate.js";
import type { RoutedService } from "../routing/routing_configuration.js";
import { chooseServer, type ServerCandidate } from "./choose_server.js";
import { ServerHealth } from "./server_health.js";
import {
  type RetryBudgetLimits,
  SlidingRetryBudget,
} from "./sliding_retry_budget.js";

/** Limits that the platform sets for all VMs together. */
export interface SharedLimits {
  readonly retries: RetryBudgetLimits;
  /** Requests per second to a cold server, relative to its configured rate. */
  readonly coldOverage: number;
  /** Requests per second to a cold server allowed on top of that. */
  readonly coldSlack: number;
}

export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly register: ServerRegister;
  readonly limits: () => SharedLimits;
  readonly findService: (name: ServiceName) => RoutedService | undefined;
  readonly vmCount: () => number;
  readonly rateLimits: ServerRateLimits;
  /** Without it, the load that servers state isn't used. */
  readonly loads?: ServerLoads | undefined;
  /** Without it, the memory of model engines isn't taken into account. */
  readonly memories?: EngineMemories | undefined;
  /** Returns a number of at least 0 and less than 1. */
  readonly random?: () => number;
  readonly rollouts?: RolloutGate;
}

export interface PlacementRequest {
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
  readonly prefixKey: string | undefined;
  readonly excluded: ReadonlySet<BackendServerId>;
  /** Whether the request may go to a server that states a rate limit. */
  readonly includesRateLimited: boolean;
  /**
   * If set, only servers of this version are considered, as the request goes on
   * with what one of them began.
   */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Name of the route, by which permits for a rollout are granted. */
  readonly route?: string;
  /** Set for a request to a model engine. */
  readonly prompt?: PromptShape | undefined;
}

/**
 * Fraction of the cold limit that the known VMs use; the rest allows for VMs
 * that joined but are not known here yet.
 */
const COLD_LIMIT_SAFETY_FACTOR = 0.8;
/** More connections than this to one server bring no benefit. */
const MAX_CONNECTIONS_PER_SERVER = 64;

const NO_SERVERS: ReadonlySet<BackendServerId> = new Set();

export class ServerDirectory {
  readonly #options: ServerDirectoryOptions;
  readonly #rollouts: RolloutGate;
  readonly #health = new Map<BackendServerId, ServerHealth>();
  readonly #budgets = new Map<ServiceName, SlidingRetryBudget>();

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
    this.#rollouts = options.rollouts ?? NO_ROLLOUTS;
  }

  /**
   * Chooses the server for a request, and counts the request towards the
   * server's rate limit and cold limit.
   */
  async assign(
    request: PlacementRequest,
  ): Promise<ServerCandidate | undefined> {
    const { clock, rateLimits, register } = this.#options;
    const excluded = new Set(request.excluded);
    for (;;) {
      const nowMs = clock.nowMs();
      const preview = this.preview({ ...request, excluded }, nowMs);
      if (preview === undefined) return undefined;
      const report = this.#refreshMemory(request, preview.server);
      if (report !== undefined) {
        await report;
        continue;
      }
      const choice = this.#takePermit(preview, request);
      if (choice === undefined) {
        excluded.add(preview.server.id);
        continue;
      }
      const { server, health, permit } = choice;
      // Counted before waiting, as other requests are assigned meanwhile.
      const isCounted = nowMs < server.coldUntilMs;
      if (isCounted) health.recordColdRequest(nowMs);
      const isPermitted = await rateLimits.acquire(server.id);
      // The server may have started to leave, or turned cold, in the meantime.
      const isUsable = register.isUsable(server) &&
        (isCounted || !this.#isCold(server.id));
      if (isPermitted && isUsable) return choice;
      if (isCounted) health.withdrawColdRequest(nowMs);
      permit?.giveBack();
      excluded.add(server.id);
    }
  }

  /** Returns the server that a request would get now, without counting it. */
  preview(
    request: PlacementRequest,
    nowMs: number,
  ): ServerCandidate | undefined {
    const suitable = this.#suitableServers(request)
      .filter(({ id }) => this.#hasRate(id, request, nowMs))
      .map((server) => this.#candidateOf(server, nowMs));
    const { service } = request;
    const need = this.#memoryNeedOf(request);
    const candidates = need === undefined
      ? suitable
      : this.#withFreeTokens(suitable, need, nowMs).filter(hasMemoryLeft);
    const allEngines = need === undefined
      ? undefined
      : this.#allEngines(request, nowMs);
    const { free, permitted } = this.#rollouts.split(service, candidates, {
      isContinuation: request.softwareVersion !== undefined,
    });
    const isExposed = permitted.length > 0 &&
      this.#mayExpose(request, free.length > 0);
    for (const admitted of isExposed ? [permitted, free] : [free]) {
      const choice = chooseServer({
        candidates: admitted,
        allEngines,
        dataCentre: request.dataCentre,
        prefixKey: request.prefixKey,
        coldQuota: this.#coldQuota(service),
        nowMs,
        random: this.#options.random ?? Math.random,
      });
      if (choice !== undefined) return choice;
    }
    return undefined;
  }

  /**
   * Retries don't use permits as long as there is a server without need of one:
   * they would reveal less than a new request.
   */
  #mayExpose(request: PlacementRequest, hasFree: boolean): boolean {
    const { service, excluded, route = "" } = request;
    if (hasFree && excluded.size > 0) return false;
    return this.#rollouts.permitCount(service, route) > 0;
  }

  /** Returns undefined if the server needs a permit that this VM doesn't have. */
  #takePermit(
    choice: ServerCandidate,
    request: PlacementRequest,
  ): ServerCandidate | undefined {
    const { server } = choice;
    const isContinuation = request.softwareVersion !== undefined;
    const admission = this.#rollouts.admits(server, { isContinuation });
    if (admission === "freely") return choice;
    if (admission === "never") return undefined;
    const permit = this.#rollouts.takePermit(server, request.route ?? "");
    return permit === undefined ? undefined : { ...choice, permit };
  }

  /** Whether a request that was assigned to the server may be written now. */
  maySend(
    { server, permit }: ServerCandidate,
    options: { readonly isContinuation: boolean },
  ): boolean {
    return this.isUsable(server) &&
      this.#rollouts.maySend(server, permit, options);
  }

  /**
   * Whether engines could take the request, but none of them has enough memory
   * left for it now.
   */
  lacksMemory(request: PlacementRequest): boolean {
    const need = this.#memoryNeedOf(request);
    if (need === undefined) return false;
    const nowMs = this.#options.clock.nowMs();
    const candidates = this.#withFreeTokens(
      this.#suitableServers(request)
        .map((server) => this.#candidateOf(server, nowMs)),
      need,
      nowMs,
    );
    const [emptiest] = candidates.sort((a, b) =>
      (b.freeTokens ?? 0) - (a.freeTokens ?? 0)
    );
    if (emptiest === undefined || candidates.some(hasMemoryLeft)) return false;
    // A report may show that the request fits.
    void this.#options.memories?.refresh(emptiest.server);
    return true;
  }

  /** When engines that are full are likely to have memory left. */
  memoryRetryAfterMs(service: ServiceName): number {
    return this.#options.memories?.retryAfterMs(service) ?? 0;
  }

  /** Counts a request at an engine until the returned function is called. */
  holdMemory(
    server: RegisteredServer,
    prompt: PromptShape | undefined,
  ): () => void {
    const { memories } = this.#options;
    if (prompt === undefined || memories?.isEnabled !== true) {
      return () => undefined;
    }
    return memories.place(server, memoryNeedOf(prompt));
  }

  /** An engine has ended unexpectedly, so its load is spread. */
  recordCrash(server: RegisteredServer): void {
    this.#options.memories?.recordCrash(server);
  }

  /** Whether a server could take the request, now or later. */
  hasServer(request: PlacementRequest): boolean {
    return this.#suitableServers(request).length > 0;
  }

  /**
   * Time until a server of the service accepts another request; 0 if there is
   * one without a limit or with capacity left. Considers servers that asked for
   * a pause only if there is no other one.
   */
  availableInMs(service: ServiceName): number {
    const { clock, rateLimits, register } = this.#options;
    const nowMs = clock.nowMs();
    const waitsMs = register.usableServers(service)
      .map(({ id }) => rateLimits.availableInMs(id, nowMs));
    if (waitsMs.length > 0) return Math.min(...waitsMs);
    return Math.max(0, (register.pauseEndsAtMs(service) ?? nowMs) - nowMs);
  }

  /** See `ServerRegister.isUsable`. */
  isUsable(server: RegisteredServer): boolean {
    return this.#options.register.isUsable(server);
  }

  /** See `ServerRegister.isStaying`. */
  isStaying(server: RegisteredServer): boolean {
    return this.#options.register.isStaying(server);
  }

  healthOf(id: BackendServerId): ServerHealth {
    let health = this.#health.get(id);
    if (health === undefined) {
      health = new ServerHealth();
      this.#health.set(id, health);
    }
    return health;
  }

  /** The load that servers state, if it is used. */
  get loads(): ServerLoads | undefined {
    return this.#options.loads;
  }

  forget(id: BackendServerId): void {
    this.#health.delete(id);
    this.#options.loads?.forget(id);
    this.#options.memories?.forget(id);
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

  /** Connections that this VM may open to one server of the service. */
  connectionShare(service: ServiceName): number {
    const limit = this.#options.findService(service)?.connectionLimit ??
      MAX_CONNECTIONS_PER_SERVER;
    const share = Math.floor(limit / this.#options.vmCount());
    return Math.max(1, Math.min(MAX_CONNECTIONS_PER_SERVER, share));
  }

  #candidateOf(server: RegisteredServer, nowMs: number): ServerCandidate {
    return {
      server,
      health: this.healthOf(server.id),
      load: this.#options.loads?.candidateLoad(server, nowMs),
    };
  }

  /** Undefined unless engines may crash for lack of memory. */
  #memoryNeedOf({ prompt }: PlacementRequest): MemoryNeed | undefined {
    const isCounted = prompt !== undefined &&
      this.#options.memories?.isEnabled === true;
    return isCounted ? memoryNeedOf(prompt) : undefined;
  }

  /** Set if the server should be chosen again, once that has resolved. */
  #refreshMemory(
    request: PlacementRequest,
    server: RegisteredServer,
  ): Promise<void> | undefined {
    return this.#memoryNeedOf(request) === undefined
      ? undefined
      : this.#options.memories?.refresh(server);
  }

  #withFreeTokens(
    candidates: readonly ServerCandidate[],
    need: MemoryNeed,
    nowMs: number,
  ): ServerCandidate[] {
    return candidates.map((candidate) => ({
      ...candidate,
      freeTokens: this.#options.memories?.freeTokens(candidate.server, {
        need,
        statedRequests: candidate.load?.othersLoad ?? 0,
      }, nowMs),
    }));
  }

  /** The engines that a prefix may be cached at, and those just crashed. */
  #allEngines(request: PlacementRequest, nowMs: number): BackendServerId[] {
    const usable = this.#suitableServers({ ...request, excluded: NO_SERVERS });
    const crashed = this.#options.memories
      ?.crashedEngines(request.service, nowMs) ?? [];
    return [...new Set([...usable.map(({ id }) => id), ...crashed])];
  }

  #isCold(id: BackendServerId): boolean {
    const { clock, register } = this.#options;
    return clock.nowMs() < (register.get(id)?.coldUntilMs ?? 0);
  }

  #suitableServers(request: PlacementRequest): RegisteredServer[] {
    const { excluded, service, softwareVersion } = request;
    const isContinuation = softwareVersion !== undefined;
    return this.#options.register.usableServers(service).filter((server) =>
      !excluded.has(server.id) &&
      (softwareVersion === undefined ||
        server.softwareVersion === softwareVersion) &&
      this.#rollouts.admits(server, { isContinuation }) !== "never"
    );
  }

  #hasRate(
    id: BackendServerId,
    request: PlacementRequest,
    nowMs: number,
  ): boolean {
    const { rateLimits } = this.#options;
    if (!request.includesRateLimited) {
      return rateLimits.requestsPerSecond(id) === undefined;
    }
    return rateLimits.availableInMs(id, nowMs) === 0;
  }

  #coldQuota(service: ServiceName): number {
    const perSecond = this.#options.findService(service)
      ?.coldRequestsPerSecond ?? 0;
    if (perSecond <= 0) return Infinity;
    const { coldOverage, coldSlack } = this.#options.limits();
    const limit = perSecond * coldOverage + coldSlack;
    return Math.floor(
      limit * COLD_LIMIT_SAFETY_FACTOR / this.#options.vmCount(),
    );
  }
}

function hasMemoryLeft({ freeTokens }: ServerCandidate): boolean {
  return freeTokens === undefined || freeTokens >= 0;
}
