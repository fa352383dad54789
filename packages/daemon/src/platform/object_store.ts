/**
 * The interface through which the daemon uses the platform's object store.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  VmListing,
  WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";

/** Precondition of an update: the object is absent, or has this version. */
export type ExpectedVersion =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };

export type UpdateResult =
  | { readonly kind: "updated"; readonly version: number }
  /** The precondition failed, as after a concurrent update; nothing changed. */
  | { readonly kind: "conflict" };

export type StatusUpdateResult =
  | { readonly kind: "updated"; readonly object: StoredObject }
  /** The object has another version, or is absent; nothing changed. */
  | { readonly kind: "conflict"; readonly object: StoredObject | undefined };

export type WatchResult =
  | { readonly kind: "events"; readonly answer: WatchResponse }
  /** The platform no longer has events from this revision on: list again. */
  | { readonly kind: "tooOld" };

/**
 * Every call rejects with a `PlatformError` when the platform can't be reached
 * in time, refuses the call because of overload or the size of the body, or
 * sends an invalid response.
 */
export interface ObjectStore {
  read(key: string): Promise<StoredObject | undefined>;
  list(prefix: string): Promise<ObjectListing>;
  /**
   * After `outcomeUnknown` the caller has to read the object to find out
   * whether the update took effect.
   */
  update(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<UpdateResult>;
  remove(key: string, version: number): Promise<UpdateResult>;
  watch(request: WatchRequest, signal: AbortSignal): Promise<WatchResult>;
  listVms(): Promise<VmListing>;
}

/** A store whose objects have a status that is written apart from the value. */
export interface StatusStore extends ObjectStore {
  /**
   * Writes the object's status if the object has this version. After
   * `outcomeUnknown` the caller has to read the object, as after an update.
   */
  updateStatus(
    key: string,
    status: unknown,
    version: number,
  ): Promise<StatusUpdateResult>;
}

export interface WatchRequest {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}
