/**
 * The configuration (register and rules) of a planned cluster, as an operator
 * submits it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  type ClusterPlan,
  planServers,
  type ServicePlan,
} from "./cluster_plan.js";

/** Lower-case hexadecimal SHA-256, the form of keys in settings and rules. */
export function sha256Of(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

export interface SubmittedServer {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly vmId: string;
  readonly url: string;
}

export interface SubmittedRegister {
  readonly dataCentres: readonly unknown[];
  readonly models: readonly unknown[];
  readonly services: readonly unknown[];
  readonly backendServers: readonly SubmittedServer[];
}

export interface SubmittedRules {
  readonly pipelines: readonly unknown[];
  readonly clientAccounts: readonly unknown[];
  readonly dataCentresOut: readonly string[];
  readonly backendServersOut: readonly string[];
}

/** The body of `POST /admin/v1/configuration`. */
export interface SubmittedConfiguration {
  readonly register: SubmittedRegister;
  readonly rules: SubmittedRules;
}

const DEFAULT_MODEL = "default-model";
const DEFAULT_REGION = "default-region";

/** Builds the configuration; `urls` maps backend server ids to URLs. */
export function planConfiguration(
  plan: ClusterPlan,
  urls: ReadonlyMap<string, string>,
): SubmittedConfiguration {
  return {
    register: {
      dataCentres: plan.dataCentres.map(({ name, region }) => ({
        name,
        region: region ?? DEFAULT_REGION,
      })),
      models: [...new Set(plan.services.flatMap(modelsOf))].map((name) => ({
        name,
      })),
      services: plan.services.map(describeService),
      backendServers: planServers(plan).map((server) => ({
        id: server.id,
        service: server.service.name,
        dataCentre: server.dataCentre,
        vmId: server.vmId,
        url: urls.get(server.id) ?? "http://127.0.0.1:1",
      })),
    },
    rules: {
      pipelines: plan.pipelines,
      clientAccounts: plan.clientAccounts.map(({ id, key, share }) => ({
        id,
        keySha256: [sha256Of(key)],
        ...(share === undefined ? {} : { share }),
      })),
      dataCentresOut: [],
      backendServersOut: [],
    },
  };
}

function modelsOf(service: ServicePlan): string[] {
  return service.kind === "modelEngine" ? [service.model ?? DEFAULT_MODEL] : [];
}

function describeService(service: ServicePlan): unknown {
  const { name, kind, warmLimit, coldLimit } = service;
  const { warmAfterCompletions, coldAfterIdleMs } = service;
  return {
    name,
    kind,
    warmLimit,
    coldLimit,
    ...(kind === "modelEngine"
      ? { model: service.model ?? DEFAULT_MODEL }
      : {}),
    ...(warmAfterCompletions === undefined ? {} : { warmAfterCompletions }),
    ...(coldAfterIdleMs === undefined ? {} : { coldAfterIdleMs }),
  };
}
