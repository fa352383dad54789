/**
 * Branded identifiers. A brand keeps one kind of identifier from being passed
 * where another is meant; at run time every identifier is a plain string.
 *
 * @module
 */

declare const brand: unique symbol;

/** A string that carries the name of the kind of identifier it is. */
export type Branded<Name extends string> = string & {
  readonly [brand]: Name;
};

/** An entry VM on which one daemon runs, or a VM that hosts a backend server. */
export type VmId = Branded<"VmId">;
/** One process life of a daemon; a restart gets a new one. */
export type Incarnation = Branded<"Incarnation">;
/** A data centre of the register. */
export type DataCentreName = Branded<"DataCentreName">;
/** A service of the register: the same work offered by many backend servers. */
export type ServiceName = Branded<"ServiceName">;
/** One engine or plain server that runs stages. */
export type BackendServerId = Branded<"BackendServerId">;
/** A pipeline of the rules. */
export type PipelineName = Branded<"PipelineName">;
/** One stage of a pipeline. */
export type StageName = Branded<"StageName">;
/** A client account, which owns keys and a fair share. */
export type ClientAccountId = Branded<"ClientAccountId">;
/** One request of a caller, unique for ever. */
export type RequestId = Branded<"RequestId">;
/** One attempt to run one stage of one request, unique for ever. */
export type AttemptId = Branded<"AttemptId">;
/** One right to have one call in flight at one backend server. */
export type PermitId = Branded<"PermitId">;
/** One operator's change of the configuration. */
export type ChangeId = Branded<"ChangeId">;

/**
 * Brands a string as an identifier. Only adapters and parsers, where strings
 * enter the program, call this.
 *
 * @example
 * ```ts
 * const vmId = toId<VmId>("vm-palermo-1");
 * ```
 */
// The caller names the brand; no argument could carry it.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function toId<Id extends Branded<string>>(text: string): Id {
  return text as Id;
}

/** A service's backend servers in one data centre. */
export interface PoolId {
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
}

/**
 * The text form of a pool, for use as a map key and in logs.
 *
 * @example
 * ```ts
 * poolKey({ service, dataCentre }); // "generator@palermo"
 * ```
 */
export function poolKey(pool: PoolId): string {
  return `${pool.service}@${pool.dataCentre}`;
}
