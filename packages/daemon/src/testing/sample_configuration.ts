/**
 * A small configuration for unit tests.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  checkConfiguration,
  type Configuration,
} from "@sassafrasstage/protocol/configuration";

/** The API key of client account "shop". */
export const SAMPLE_KEY = "shop-key";

/**
 * Creates a configuration with two single-stage pipelines: "draft" calls a
 * model engine, and "issue" a plain service whose operation isn't idempotent.
 */
export function makeSampleConfiguration(generation = 1): Configuration {
  const check = checkConfiguration({
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
        { name: "registry", kind: "plain", warmLimit: 8, coldLimit: 1 },
      ],
      backendServers: [
        makeServer("engine-1", "generator"),
        makeServer("engine-2", "generator"),
        makeServer("registry-1", "registry"),
        makeServer("registry-2", "registry"),
      ],
    },
    rules: {
      pipelines: [
        makePipeline("draft", [
          { name: "write", service: "generator", operation: "completions" },
        ]),
        makePipeline("issue", [
          {
            name: "issue",
            service: "registry",
            operation: "issue",
            idempotent: false,
          },
        ]),
      ],
      clientAccounts: [
        {
          id: "shop",
          keySha256: [createHash("sha256").update(SAMPLE_KEY).digest("hex")],
        },
      ],
    },
  });
  if (check.kind === "invalid") throw new Error(JSON.stringify(check.faults));
  return { ...check.content, generation };
}

function makeServer(id: string, service: string): Record<string, string> {
  return {
    id,
    service,
    dataCentre: "palermo",
    vmId: `vm-${id}`,
    url: "http://127.0.0.1:1",
  };
}

function makePipeline(
  name: string,
  stages: readonly Record<string, unknown>[],
): Record<string, unknown> {
  return { name, urgency: "counter", deadlineMs: 1000, stages };
}
