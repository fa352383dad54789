/**
 * The plan of a cluster that a test, demo or benchmark starts.
 *
 * @module
 */

import type { EngineOptions } from "../backend_servers/engine_stand_in.js";
import type { PlainServiceOptions } from "../backend_servers/plain_service_stand_in.js";
import type { PlatformFaults } from "../platform/platform_faults.js";

export interface DataCentrePlan {
  readonly name: string;
  readonly region?: string;
  readonly entryVmCount: number;
}

interface CommonServicePlan {
  readonly name: string;
  /** The number in each data centre, or a number by data centre name. */
  readonly serversPerDataCentre: number | Readonly<Record<string, number>>;
  /** Names of the data centres where it runs; all by default. */
  readonly dataCentres?: readonly string[];
  readonly warmLimit: number;
  readonly coldLimit: number;
  readonly warmAfterCompletions?: number;
  readonly coldAfterIdleMs?: number;
}

export type ServicePlan =
  | CommonServicePlan & {
    readonly kind: "modelEngine";
    readonly model?: string;
    readonly behaviour?: EngineOptions;
  }
  | CommonServicePlan & {
    readonly kind: "plain";
    readonly behaviour?: PlainServiceOptions;
  };

export interface StagePlan {
  readonly name: string;
  readonly service: string;
  readonly operation: string;
  readonly idempotent?: boolean;
  readonly maxTokens?: number;
}

export interface PipelinePlan {
  readonly name: string;
  readonly urgency: "counter" | "deferrable";
  readonly deadlineMs: number;
  readonly stages: readonly StagePlan[];
}

export interface ClientAccountPlan {
  readonly id: string;
  readonly key: string;
  readonly share?: number;
}

export type SettingsSection = Readonly<Record<string, string | number>>;
export type SettingsOverrides = Readonly<Record<string, SettingsSection>>;

export interface ClusterPlan {
  readonly dataCentres: readonly DataCentrePlan[];
  readonly services: readonly ServicePlan[];
  readonly pipelines: readonly PipelinePlan[];
  readonly clientAccounts: readonly ClientAccountPlan[];
  /** Merged into the settings of the harness, by INI section. */
  readonly settings?: SettingsOverrides;
  /** Whether all connections of daemons go through fault-injecting proxies. */
  readonly isProxied?: boolean;
  readonly platformFaults?: Partial<PlatformFaults>;
  /** Path to another build of the daemon's program. */
  readonly daemonProgram?: string;
  readonly seed?: number;
  /** Whether to wait until every daemon is ready; true by default. */
  readonly waitsUntilReady?: boolean;
}

/** An entry VM of a plan. */
export interface PlannedVm {
  readonly vmId: string;
  readonly dataCentre: string;
}

/** A backend server of a plan. */
export interface PlannedServer {
  readonly id: string;
  readonly vmId: string;
  readonly dataCentre: string;
  readonly service: ServicePlan;
}

/** Lists the entry VMs, named "vm-palermo-1" and so on. */
export function planVms(plan: ClusterPlan): PlannedVm[] {
  return plan.dataCentres.flatMap(({ name, entryVmCount }) =>
    countTo(entryVmCount).map((number) => ({
      vmId: `vm-${name}-${number}`,
      dataCentre: name,
    }))
  );
}

/** Lists the backend servers, named "encoder-palermo-1" and so on. */
export function planServers(plan: ClusterPlan): PlannedServer[] {
  const servers: PlannedServer[] = [];
  for (const service of plan.services) {
    const names = service.dataCentres ??
      plan.dataCentres.map((dataCentre) => dataCentre.name);
    for (const dataCentre of names) {
      for (const number of countTo(countServers(service, dataCentre))) {
        const id = `${service.name}-${dataCentre}-${number}`;
        servers.push({ id, vmId: `vm-${id}`, dataCentre, service });
      }
    }
  }
  return servers;
}

function countServers(service: ServicePlan, dataCentre: string): number {
  const { serversPerDataCentre } = service;
  return typeof serversPerDataCentre === "number"
    ? serversPerDataCentre
    : serversPerDataCentre[dataCentre] ?? 0;
}

function countTo(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
