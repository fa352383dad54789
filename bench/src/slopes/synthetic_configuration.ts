/**
 * Generates configurations of any size.
 *
 * @module
 */

import {
  checkConfiguration,
  type ConfigurationContent,
} from "@sassafrasstage/protocol/configuration";

export interface ConfigurationSize {
  readonly dataCentres: number;
  readonly engines: number;
  readonly clientAccounts: number;
  readonly models: number;
  readonly pipelines: number;
}

/** The size that the system is designed for. */
export const DESIGN_SIZE: ConfigurationSize = {
  dataCentres: 11,
  engines: 4700,
  clientAccounts: 28_000,
  models: 14,
  pipelines: 36,
};

/**
 * Makes a configuration as an operator submits it, before validation.
 *
 * @example
 * ```ts
 * const text = JSON.stringify(makeSubmission(DESIGN_SIZE));
 * ```
 */
export function makeSubmission(size: ConfigurationSize): unknown {
  const models = range(size.models);
  const dataCentres = range(size.dataCentres);
  return {
    register: {
      dataCentres: dataCentres.map((n) => ({ name: `dc-${n}`, region: "r-1" })),
      models: models.map((n) => ({ name: `model-${n}` })),
      services: models.map((n) => ({
        name: `generator-${n}`,
        kind: "modelEngine",
        model: `model-${n}`,
        warmLimit: 8,
        coldLimit: 1,
      })),
      backendServers: range(size.engines).map((n) => ({
        id: `engine-${n}`,
        service: `generator-${n % size.models}`,
        dataCentre: `dc-${n % size.dataCentres}`,
        vmId: `host-${n}`,
        url: `http://10.${n >> 16}.${(n >> 8) & 255}.${n & 255}:8000`,
      })),
    },
    rules: {
      pipelines: range(size.pipelines).map((n) => ({
        name: `pipeline-${n}`,
        urgency: n % 2 === 0 ? "counter" : "deferrable",
        deadlineMs: 5000,
        stages: range(3 + n % 4).map((stage) => ({
          name: `stage-${stage}`,
          service: `generator-${(n + stage) % size.models}`,
          operation: "completions",
        })),
      })),
      clientAccounts: range(size.clientAccounts).map((n) => ({
        id: `account-${n}`,
        keySha256: [n.toString(16).padStart(64, "0")],
        share: 1,
      })),
    },
  };
}

/**
 * Makes a validated configuration with the default values filled in.
 *
 * @example
 * ```ts
 * const { register } = makeContent(DESIGN_SIZE);
 * ```
 */
export function makeContent(size: ConfigurationSize): ConfigurationContent {
  const check = checkConfiguration(makeSubmission(size));
  if (check.kind === "valid") return check.content;
  throw new RangeError(
    `The synthetic configuration is invalid: ${
      JSON.stringify(check.faults[0])
    }`,
  );
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
