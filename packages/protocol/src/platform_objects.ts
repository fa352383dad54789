/**
 * The platform's object API and VM list as this project meets them over HTTP.
 * The daemon's platform adapter and the platform stand-in both speak this form.
 *
 * | call | answers |
 * |---|---|
 * | `GET /objects/{key}` | 200 `StoredObject`; 404 |
 * | `PUT /objects/{key}` with `If-Match: {version}` or `If-None-Match: *` | 200 `ObjectVersion`; 412 |
 * | `DELETE /objects/{key}` with `If-Match` | 204; 404; 412 |
 * | `GET /objects?prefix=P` | 200 `ObjectListing` |
 * | `GET /watch?prefix=P&after=REVISION&waitMs=N` | 200 `WatchAnswer` (empty events after N ms); 410 when REVISION is too old |
 * | `GET /vms` | 200 `VmListing`, some seconds old |
 *
 * Keys are URL path segments joined by `/`. A value is JSON of at most
 * `MAX_OBJECT_BYTES`; a larger one is answered with 413. 429 and 503 say that
 * nothing was done.
 *
 * @module
 */

import type { DataCentreName, VmId } from "./ids.js";

/** The largest value in bytes of its JSON text. */
export const MAX_OBJECT_BYTES = 1_000_000;

export interface StoredObject {
  readonly key: string;
  /** Rises with every update of any object. */
  readonly version: number;
  readonly value: unknown;
}

export interface ObjectVersion {
  readonly version: number;
}

export interface ObjectListing {
  /** Where a watch goes on from. */
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

export interface WatchAnswer {
  /** The `after` of the next call. */
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
}

export interface VmListing {
  readonly vms: readonly ListedVm[];
}
