/**
 * Types of the platform's object API and VM list over HTTP, used by both the
 * daemon's platform adapter and the platform stand-in.
 *
 * | request | responses |
 * |---|---|
 * | `GET /objects/{key}` | 200 `StoredObject`; 404 |
 * | `PUT /objects/{key}` with `If-Match: {version}` or `If-None-Match: *` | 200 `ObjectVersion`; 412 |
 * | `DELETE /objects/{key}` with `If-Match` | 204; 404; 412 |
 * | `GET /objects?prefix=P` | 200 `ObjectListing` |
 * | `GET /watch?prefix=P&after=REVISION&waitMs=N` | 200 `WatchResponse` (empty `events` after N ms); 410 when REVISION is too old |
 * | `GET /vms` | 200 `VmListing`, which may be some seconds out of date |
 *
 * Keys are URL path segments joined by `/`. A value is JSON of at most
 * `MAX_OBJECT_BYTES`; a larger one is rejected with 413. 429 and 503 mean that
 * the request had no effect.
 *
 * @module
 */

import type { DataCentreName, VmId } from "./ids.js";

declare const storeEra: unique symbol;

/**
 * Counts the times that the platform's store came back from an older copy of its
 * objects. Revisions and versions compare only within one era.
 */
export type StoreEra = number & { readonly [storeEra]: true };

/** Also that of stores that state none. */
export const FIRST_STORE_ERA = toStoreEra(0);

/**
 * Brands a number as an era. Only adapters and parsers should call it.
 *
 * @example
 * ```ts
 * const era = toStoreEra(2);
 * ```
 */
export function toStoreEra(count: number): StoreEra {
  return count as StoreEra;
}

/** Maximum size of a value's JSON text. */
export const MAX_OBJECT_BYTES = 1_000_000;

export interface StoredObject {
  readonly key: string;
  /** Drawn from one counter, which increases with every update of any object. */
  readonly version: number;
  readonly value: unknown;
  /** Written apart from the value; absent for kinds whose status isn't used. */
  readonly status?: unknown;
  /**
   * Distinguishes the object from one of the same key that was removed before.
   * Present together with the status.
   */
  readonly creation?: string;
}

export interface ObjectVersion {
  readonly version: number;
}

export interface ObjectListing {
  /** Absent if the store states none. */
  readonly era?: StoreEra;
  /** The revision from which a watch continues. */
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

export type WatchEvent =
  | { readonly kind: "updated"; readonly object: StoredObject }
  | {
    readonly kind: "deleted";
    readonly key: string;
    readonly version: number;
  };

export interface WatchResponse {
  /** Absent if the store states none. */
  readonly era?: StoreEra;
  /** The `after` parameter of the next request. */
  readonly revision: number;
  readonly events: readonly WatchEvent[];
}

export interface ListedVm {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly role: "entry" | "backendServer";
  readonly state: "live" | "leaving";
  /** "host:port" of the daemon's peer listener; entry VMs only. */
  readonly peerAddress?: string;
  /** Processor capacity in cores; absent if the VM doesn't tell. */
  readonly processorCores?: number | undefined;
}

export interface VmListing {
  readonly vms: readonly ListedVm[];
}
