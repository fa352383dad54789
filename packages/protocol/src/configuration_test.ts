import { expect } from "earl";
import { describe, it } from "node:test";
import { checkConfiguration } from "./configuration.js";

const VALID = {
  register: {
    dataCentres: [{ name: "palermo", region: "sicily" }],
    models: [{ name: "dossier" }],
    services: [
      {
        name: "generator",
        kind: "modelEngine",
        model: "dossier",
        warmLimit: 8,
        coldLimit: 1,
      },
    ],
    backendServers: [
      {
        id: "engine-1",
        service: "generator",
        dataCentre: "palermo",
        vmId: "vm-e1",
        url: "http://127.0.0.1:9001",
      },
    ],
  },
  rules: {
    pipelines: [
      {
        name: "draft",
        urgency: "deferrable",
        deadlineMs: 5000,
        stages: [
          { name: "write", service: "generator", operation: "completions" },
        ],
      },
    ],
    clientAccounts: [],
  },
};

describe("checkConfiguration", () => {
  it("accepts a complete configuration and fills in defaults", () => {
    const check = checkConfiguration(VALID);
    if (check.kind !== "valid") throw new Error(JSON.stringify(check));
    expect(check.content.rules.pipelines[0]?.stages[0]?.idempotent).toEqual(
      true,
    );
  });

  it("reports the path of a reference to an unknown service", () => {
    const submitted = structuredClone(VALID);
    const stage = submitted.rules.pipelines[0]?.stages[0];
    if (stage !== undefined) stage.service = "absent";
    expect(checkConfiguration(submitted)).toEqual({
      kind: "invalid",
      faults: [
        {
          path: "rules.pipelines.0.stages.0.service",
          message: 'No service is named "absent"',
        },
      ],
    });
  });

  it("reports the path of a repeated backend server id", () => {
    const submitted = structuredClone(VALID);
    submitted.register.backendServers.push(
      ...VALID.register.backendServers,
    );
    const check = checkConfiguration(submitted);
    expect(check).toEqual({
      kind: "invalid",
      faults: [
        {
          path: "register.backendServers.1",
          message: 'The name "engine-1" stands twice',
        },
      ],
    });
  });

  it("rejects an unknown field", () => {
    const check = checkConfiguration({ ...VALID, extra: 1 });
    expect(check.kind).toEqual("invalid");
  });
});
