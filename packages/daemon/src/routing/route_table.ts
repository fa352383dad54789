/**
 * Finds a request's route and client account.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  ClientAccount,
  Route,
  RoutedService,
  RoutingConfiguration,
} from "./routing_configuration.js";

/** Index of one configuration version. Each version gets a new one. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #accountsByKey = new Map<string, ClientAccount>();
  readonly #services = new Map<ServiceName, RoutedService>();

  #stageGroups: Map<ServiceName, string> | undefined;

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#addRoute(route);
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
  }

  get requiresKeys(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /**
   * The route with the longest prefix of the path.
   *
   * @example
   * ```ts
   * const route = table.findRoute("api.example", "/lookups/17?full=1");
   * ```
   */
  findRoute(host: string, path: string): Route | undefined {
    const pathOnly = path.split("?", 1)[0] ?? path;
    return this.#routesByHost.get(host.toLowerCase())
      ?.find((route) => pathOnly.startsWith(route.pathPrefix));
  }

  findAccount(key: string): ClientAccount | undefined {
    return this.#accountsByKey.get(key);
  }

  findService(name: ServiceName): RoutedService | undefined {
    return this.#services.get(name);
  }

  /**
   * Name of the group of stage services that one coordinator has to run together:
   * services that share a route, directly or through a chain of routes.
   */
  stageGroupOf(route: Route): string {
    const [first] = route.stages;
    if (first === undefined) return "";
    this.#stageGroups ??= groupStageServices(this.configuration.routes);
    return this.#stageGroups.get(first.service) ?? first.service;
  }

  #addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.#routesByHost.get(host) ?? [];
    routes.push(route);
    this.#routesByHost.set(host, routes);
  }
}

/**
 * Selects one of a route's services at random, by weight.
 *
 * @param randomFraction Uniformly distributed in [0, 1)
 *
 * @example
 * ```ts
 * const service = chooseService(route, Math.random());
 * ```
 */
export function chooseService(
  route: Route,
  randomFraction: number,
): ServiceName | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = randomFraction * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

/** Merges services that share a route into groups with one name each. */
function groupStageServices(
  routes: readonly Route[],
): Map<ServiceName, string> {
  const parents = new Map<ServiceName, ServiceName>();
  for (const { stages } of routes) {
    for (const { service } of stages) merge(parents, stages, service);
  }
  const names = new Map<ServiceName, string>();
  for (const service of [...parents.keys()].sort()) {
    const root = findRoot(parents, service);
    // The first service of a group in this order names the group.
    if (!names.has(root)) names.set(root, `stages/${service}`);
  }
  return new Map(
    [...parents.keys()].map((service) => {
      const root = findRoot(parents, service);
      return [service, names.get(root) ?? `stages/${service}`];
    }),
  );
}

/** Puts the service into the group of the route's first stage. */
function merge(
  parents: Map<ServiceName, ServiceName>,
  stages: Route["stages"],
  service: ServiceName,
): void {
  const first = stages[0]?.service ?? service;
  parents.set(findRoot(parents, service), findRoot(parents, first));
}

/** Follows the parents up to the one that stands for the group. */
function findRoot(
  parents: Map<ServiceName, ServiceName>,
  service: ServiceName,
): ServiceName {
  let at = service;
  for (;;) {
    const parent = parents.get(at) ?? at;
    if (parent === at) break;
    const grandparent = parents.get(parent) ?? parent;
    parents.set(at, grandparent);
    at = grandparent;
  }
  if (!parents.has(at)) parents.set(at, at);
  return at;
}
