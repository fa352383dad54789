/**
 * The platform as the rest of the daemon sees it.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  VmListing,
  WatchAnswer,
} from "@sassafrasstage/protocol/platform_objects";

/** What an update expects to find: nothing, or this version. */
export type ExpectedVersion =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };

export type UpdateResult =
  | { readonly kind: "updated"; readonly version: number }
  /** Somebody else's update came first; nothing was changed. */
  | { readonly kind: "conflict" };

export type WatchResult =
  | { readonly kind: "events"; readonly answer: WatchAnswer }
  /** The revision is no longer kept: list again. */
  | { readonly kind: "tooOld" };

/**
 * Every call rejects with a `PlatformError` when the platform can't be reached
 * in time, refuses for load, or answers with something unreadable.
 */
export interface ObjectStore {
  read(key: string): Promise<StoredObject | undefined>;
  list(prefix: string): Promise<ObjectListing>;
  /** After `outcomeUnknown` the caller has to read back. */
  update(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<UpdateResult>;
  remove(key: string, version: number): Promise<UpdateResult>;
  watch(request: WatchRequest, signal: AbortSignal): Promise<WatchResult>;
  listVms(): Promise<VmListing>;
}

export interface WatchRequest {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}
