/**
 * A store of objects of one kind that remembers each of its states.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  WatchEvent,
  WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";

/** What the store states as the version of a deletion. */
export type DeletionVersion = "ownRevision" | "lastUpdate";

interface RecordedEvent {
  readonly revision: number;
  readonly event: WatchEvent;
}

type StoreState = ReadonlyMap<string, StoredObject>;

export class ModelStore {
  readonly #deletionVersion: DeletionVersion;
  readonly #events: RecordedEvent[] = [];
  /** Indexed by revision. */
  readonly #states: StoreState[] = [new Map()];

  constructor(deletionVersion: DeletionVersion) {
    this.#deletionVersion = deletionVersion;
  }

  get revision(): number {
    return this.#states.length - 1;
  }

  stateAt(revision: number): StoreState {
    const state = this.#states[revision];
    if (state === undefined) throw new RangeError("No such revision");
    return state;
  }

  put(key: string): void {
    const version = this.revision + 1;
    const object = { key, version, value: version };
    this.#change(new Map(this.#current).set(key, object), {
      kind: "updated",
      object,
    });
  }

  delete(key: string): void {
    const known = this.#current.get(key);
    if (known === undefined) return;
    const objects = new Map(this.#current);
    objects.delete(key);
    const version = this.#deletionVersion === "ownRevision"
      ? this.revision + 1
      : known.version;
    this.#change(objects, { kind: "deleted", key, version });
  }

  /** An object of another kind changes. */
  changeElsewhere(): void {
    this.#states.push(this.#current);
  }

  list(): ObjectListing {
    return { revision: this.revision, objects: [...this.#current.values()] };
  }

  watch(after: number): WatchResponse {
    return {
      revision: this.revision,
      events: this.#events
        .filter(({ revision }) => revision > after)
        .map(({ event }) => event),
    };
  }

  get #current(): StoreState {
    return this.stateAt(this.revision);
  }

  #change(objects: StoreState, event: WatchEvent): void {
    this.#states.push(objects);
    this.#events.push({ revision: this.revision, event });
  }
}
