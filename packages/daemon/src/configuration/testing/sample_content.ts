/**
 * Sample configuration contents for unit tests.
 *
 * @module
 */

import {
  checkConfiguration,
  type ConfigurationContent,
} from "@sassafrasstage/protocol/configuration";

export interface SampleSize {
  readonly dataCentres?: readonly string[];
  readonly serversPerDataCentre?: number;
  readonly clientAccounts?: number;
  /** The pipeline's deadline, which tests use to tell contents apart. */
  readonly deadlineMs?: number;
}

/** A valid configuration of the given size. */
export function makeSampleContent(size: SampleSize = {}): ConfigurationContent {
  const dataCentres = size.dataCentres ?? ["palermo", "catania"];
  const serverNumbers = [...Array(size.serversPerDataCentre ?? 2).keys()];
  const accountNumbers = [...Array(size.clientAccounts ?? 2).keys()];
  const check = checkConfiguration({
    register: {
      dataCentres: dataCentres.map((name) => ({ name, region: "sicily" })),
      models: [],
      services: [
        { name: "registry", kind: "plain", warmLimit: 8, coldLimit: 1 },
      ],
      backendServers: dataCentres.flatMap((dataCentre) =>
        serverNumbers.map((number) => ({
          id: `${dataCentre}-${number}`,
          service: "registry",
          dataCentre,
          vmId: `vm-${dataCentre}-${number}`,
          url: `http://127.0.0.1:${1000 + number}`,
        }))
      ),
    },
    rules: {
      pipelines: [{
        name: "lookup",
        urgency: "counter",
        deadlineMs: size.deadlineMs ?? 1000,
        stages: [{ name: "look", service: "registry", operation: "look" }],
      }],
      clientAccounts: accountNumbers.map((number) => ({
        id: `account-${number}`,
        keySha256: [number.toString(16).padStart(64, "0")],
      })),
    },
  });
  if (check.kind === "invalid") throw new Error(JSON.stringify(check.faults));
  return check.content;
}

/** The deadline that `makeSampleContent` set; 0 without content. */
export function readDeadlineMs(
  content: ConfigurationContent | undefined,
): number {
  return content?.rules.pipelines[0]?.deadlineMs ?? 0;
}
