import {
  type ClientAccountId,
  type ServiceName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseService, RouteTable } from "./route_table.js";
import type { Route, RoutingConfiguration } from "./routing_configuration.js";

function service(name: string): ServiceName {
  return toId<ServiceName>(name);
}

function makeRoute(name: string, route: Partial<Route> = {}): Route {
  return {
    name,
    host: "api.example",
    pathPrefix: `/${name}/`,
    repeatability: { kind: "idempotent" },
    targets: [{ service: service("registry"), weight: 1 }],
    maxAttempts: 2,
    timeoutMs: 1000,
    objectiveMs: 100,
    priority: 0,
    isPublic: false,
    stages: [],
    ...route,
  };
}

function makeTable(configuration: Partial<RoutingConfiguration>): RouteTable {
  return new RouteTable({
    version: 1,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts: undefined,
    ...configuration,
  });
}

describe("RouteTable", () => {
  it("finds the host's route with the longest path prefix, ignoring the query", () => {
    const table = makeTable({
      routes: [
        makeRoute("all", { pathPrefix: "/" }),
        makeRoute("deep", { pathPrefix: "/a/b/" }),
        makeRoute("other", { host: "other.example", pathPrefix: "/a/b/c/" }),
      ],
    });
    expect(table.findRoute("API.example", "/a/b/c/7?x=/a/")?.name)
      .toEqual("deep");
    expect(table.findRoute("api.example", "/a/bc")?.name).toEqual("all");
    expect(table.findRoute("none.example", "/a/b/")).toEqual(undefined);
  });

  it("finds accounts only by their keys", () => {
    const id = toId<ClientAccountId>("shop");
    const table = makeTable({
      accounts: [{ id, keys: ["k1", "k2"], priority: undefined }],
    });
    expect(table.findAccount("k2")?.id).toEqual(id);
    expect(table.findAccount("k3")).toEqual(undefined);
  });

  it("groups stage services that are linked by shared routes", () => {
    function stage(name: string): Route["stages"][number] {
      return { service: service(name), after: [], resultBytes: 1 };
    }
    const first = makeRoute("first", { stages: [stage("b"), stage("c")] });
    const second = makeRoute("second", { stages: [stage("c"), stage("a")] });
    const third = makeRoute("third", { stages: [stage("d")] });
    const table = makeTable({ routes: [first, second, third] });
    expect(table.stageGroupOf(first)).toEqual(table.stageGroupOf(second));
    expect(table.stageGroupOf(third)).not.toEqual(table.stageGroupOf(first));
  });
});

describe("chooseService", () => {
  it("splits requests by weight", () => {
    const route = makeRoute("split", {
      targets: [
        { service: service("old"), weight: 90 },
        { service: service("new"), weight: 10 },
      ],
    });
    expect(chooseService(route, 0)).toEqual(service("old"));
    expect(chooseService(route, 0.89)).toEqual(service("old"));
    expect(chooseService(route, 0.91)).toEqual(service("new"));
  });

  it("sends nothing to a service of weight 0", () => {
    const route = makeRoute("split", {
      targets: [
        { service: service("old"), weight: 0 },
        { service: service("new"), weight: 1 },
      ],
    });
    expect(chooseService(route, 0)).toEqual(service("new"));
  });
});

describe("a configuration with very many routes and stage services", () => {
  it("costs no time in proportion to the square of their number", () => {
    const routes = Array.from(
      { length: 3000 },
      (_, n) =>
        makeRoute(`route-${n}`, {
          stages: [n, n + 1].map((index) => ({
            service: service(`stage-${index}`),
            after: [],
            resultBytes: 1,
          })),
        }),
    );
    const table = makeTable({ routes });
    const startedAtMs = performance.now();
    const groups = new Set(routes.map((route) => table.stageGroupOf(route)));
    expect(performance.now() - startedAtMs < 500).toEqual(true);
    expect([...groups]).toEqual(["stages/stage-0"]);
  });
});
