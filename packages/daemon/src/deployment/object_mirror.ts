/**
 * A local copy of the platform's objects under one key prefix.
 *
 * @module
 */

import type { ObjectsCopy } from "@sassafrasstage/protocol/peer_messages";
import type {
  ObjectListing,
  StoredObject,
  WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";

export interface MirrorListener {
  readonly onUpdated: (object: StoredObject) => void;
  readonly onDeleted: (object: StoredObject) => void;
}

/** Applies updates from the platform and peers; ignores older versions. */
export class ObjectMirror {
  readonly prefix: string;
  readonly #listener: MirrorListener;
  readonly #objects = new Map<string, StoredObject>();
  #revision: number | undefined;
  #completeRevision: number | undefined;
  #newsVersion = 0;

  constructor(prefix: string, listener: MirrorListener) {
    this.prefix = prefix;
    this.#listener = listener;
  }

  /** Where a watch resumes; undefined before the first listing. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /**
   * The revision up to which every change is known; undefined before the first
   * listing. Unlike `revision` it doesn't advance on a watch response without
   * events: such a watch may have missed changes.
   */
  get completeRevision(): number | undefined {
    return this.#completeRevision;
  }

  /** The version of the newest change known to this mirror. */
  get newsVersion(): number {
    return this.#newsVersion;
  }

  get objects(): IterableIterator<StoredObject> {
    return this.#objects.values();
  }

  /** Returns false if the listing is older than what is known. */
  applyListing(listing: ObjectListing): boolean {
    if (listing.revision < (this.#revision ?? 0)) return false;
    this.#replaceAll(listing.objects);
    this.#revision = listing.revision;
    this.#advanceComplete(listing.revision);
    return true;
  }

  applyEvents(answer: WatchResponse): void {
    for (const event of answer.events) {
      if (event.kind === "updated") this.#update(event.object);
      else this.#delete(event.key, event.version);
    }
    if (answer.events.length > 0) this.#advanceComplete(this.#newsVersion);
    this.#revision = Math.max(this.#revision ?? 0, answer.revision);
  }

  /**
   * Applies a peer's copy if it is newer, and returns whether it was applied.
   * The watch then resumes at the copy's revision, even if it had advanced
   * further without receiving events.
   */
  applyCopy(copy: ObjectsCopy): boolean {
    if (copy.revision <= (this.#completeRevision ?? -1)) return false;
    this.#replaceAll(copy.objects);
    this.#revision = copy.revision;
    this.#advanceComplete(copy.revision);
    this.#newsVersion = Math.max(this.#newsVersion, copy.newsVersion);
    return true;
  }

  copy(): ObjectsCopy | undefined {
    if (this.#completeRevision === undefined) return undefined;
    return {
      prefix: this.prefix,
      revision: this.#completeRevision,
      newsVersion: this.#newsVersion,
      objects: [...this.#objects.values()],
    };
  }

  #advanceComplete(revision: number): void {
    this.#completeRevision = Math.max(this.#completeRevision ?? 0, revision);
  }

  #replaceAll(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map((object) => object.key));
    for (const key of [...this.#objects.keys()]) {
      if (!listed.has(key)) this.#delete(key, Infinity);
    }
    for (const object of objects) this.#update(object);
  }

  #update(object: StoredObject): void {
    const known = this.#objects.get(object.key);
    if (known !== undefined && known.version >= object.version) return;
    this.#objects.set(object.key, object);
    this.#newsVersion = Math.max(this.#newsVersion, object.version);
    this.#listener.onUpdated(object);
  }

  #delete(key: string, version: number): void {
    if (Number.isFinite(version)) {
      this.#newsVersion = Math.max(this.#newsVersion, version);
    }
    const known = this.#objects.get(key);
    if (known === undefined || known.version > version) return;
    this.#objects.delete(key);
    this.#listener.onDeleted(known);
  }
}
