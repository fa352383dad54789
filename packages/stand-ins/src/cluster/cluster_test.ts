import { expect } from "earl";
import { describe, it } from "node:test";
import { request } from "undici";
import type { ClusterPlan } from "./cluster_plan.js";
import { prepareCluster } from "./cluster.js";
import { formatSettings, mergeSettings } from "./settings_file.js";
import { checkConfiguration } from "@sassafrasstage/protocol/configuration";

const PLAN: ClusterPlan = {
  dataCentres: [{ name: "palermo", entryVmCount: 2 }],
  services: [
    {
      name: "generator",
      kind: "modelEngine",
      serversPerDataCentre: 1,
      warmLimit: 4,
      coldLimit: 1,
    },
    {
      name: "registry",
      kind: "plain",
      serversPerDataCentre: 2,
      warmLimit: 4,
      coldLimit: 1,
    },
  ],
  pipelines: [{
    name: "issue",
    urgency: "counter",
    deadlineMs: 1000,
    stages: [{
      name: "issue",
      service: "registry",
      operation: "issue",
      idempotent: false,
    }],
  }],
  clientAccounts: [{ id: "boutique", key: "boutique-key" }],
  isProxied: true,
};

describe("prepareCluster", () => {
  it("starts the stand-ins and creates a valid configuration", async () => {
    const cluster = await prepareCluster(PLAN);
    try {
      expect(checkConfiguration(cluster.configuration).kind).toEqual("valid");
      expect(cluster.vms.length).toEqual(5);
      const proxied = cluster.configuration.register.backendServers.find(
        (server) => server.id === "registry-palermo-1",
      );
      const answer = await request(`${proxied?.url ?? ""}/v1/issue`, {
        method: "POST",
        headers: { "x-request-id": "a1" },
        body: JSON.stringify({ input: "<<x>>" }),
      });
      await answer.body.dump();
      const record = await cluster.server("registry-palermo-1").record();
      expect(record.entries.map((entry) => entry.number)).toEqual([
        "registry-palermo-1-1",
      ]);
    } finally {
      await cluster.stop();
    }
  });
});

describe("formatSettings", () => {
  it("formats settings merged with overrides", () => {
    const merged = mergeSettings(
      { vm: { id: "vm-1" }, pools: { lease_ms: 1500 } },
      { pools: { lease_ms: 300 } },
    );
    expect(formatSettings(merged)).toEqual(
      "[vm]\nid = vm-1\n\n[pools]\nlease_ms = 300\n",
    );
  });
});
