/**
 * Branded identifier types. A brand prevents one kind of identifier from being
 * passed where another is expected; at run time every identifier is a plain
 * string.
 *
 * @module
 */

declare const brand: unique symbol;

/** A string type that is tagged with the kind of identifier. */
export type Branded<Name extends string> = string & {
  readonly [brand]: Name;
};

/**
 * An entry VM on which one daemon runs, or a VM that hosts a backend server.
 */
export type VmId = Branded<"VmId">;
/** One run of a daemon process; each restart gets a new incarnation. */
export type Incarnation = Branded<"Incarnation">;
/** A data centre in the register. */
export type DataCentreName = Branded<"DataCentreName">;
/** A service in the register, provided by equivalent backend servers. */
export type ServiceName = Branded<"ServiceName">;
/** A model engine or a plain server that runs stages. */
export type BackendServerId = Branded<"BackendServerId">;
/** The version of a backend server's software. */
export type SoftwareVersion = Branded<"SoftwareVersion">;
/** A pipeline in the rules. */
export type PipelineName = Branded<"PipelineName">;
/** One stage of a pipeline. */
export type StageName = Branded<"StageName">;
/** A client account, which has API keys and a fair share of each pool. */
export type ClientAccountId = Branded<"ClientAccountId">;
/** One client request. The id is globally unique and never reused. */
export type RequestId = Branded<"RequestId">;
/** One attempt to run a stage of a request. The id is never reused. */
export type AttemptId = Branded<"AttemptId">;
/** A permit for one call in flight at one backend server. */
export type PermitId = Branded<"PermitId">;
/**
 * What requests that crash servers can have in common: a part of their prompts,
 * or the digest of the whole request.
 */
export type SuspectId = Branded<"SuspectId">;
/** A change of the configuration by an operator. */
export type ChangeId = Branded<"ChangeId">;

/**
 * Brands a string as an identifier. Only adapters and parsers should call it,
 * where strings enter the program.
 *
 * @example
 * ```ts
 * const vmId = toId<VmId>("vm-palermo-1");
 * ```
 */
// The type argument selects the brand; it can't be inferred from the string.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function toId<Id extends Branded<string>>(text: string): Id {
  return text as Id;
}

/** Identifies a pool: a service's backend servers in one data centre. */
export interface PoolId {
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
}

/**
 * Formats a pool as text, for use as a map key and in logs.
 *
 * @example
 * ```ts
 * poolKey({ service, dataCentre }); // "generator@palermo"
 * ```
 */
export function poolKey(pool: PoolId): string {
  return `${pool.service}@${pool.dataCentre}`;
}
