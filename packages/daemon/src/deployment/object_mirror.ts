/**
 * A local copy of the platform's objects under one key prefix.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type {
  ObjectChanges,
  ObjectsCopy,
} from "@sassafrasstage/protocol/peer_messages";
import {
  FIRST_STORE_ERA,
  type ObjectListing,
  type StoredObject,
  type StoreEra,
  type WatchEvent,
  type WatchResponse,
} from "@sassafrasstage/protocol/platform_objects";
import {
  provenRevision,
  type WatchPosition,
} from "../platform/watch_position.js";
import { boundNesting } from "./bound_nesting.js";

export interface EraChange {
  readonly from: StoreEra;
  readonly to: StoreEra;
}

export interface MirrorOptions {
  readonly onUpdated: (object: StoredObject) => void;
  readonly onDeleted: (object: StoredObject) => void;
  /**
   * The platform's store has come back from an older copy. Called before the
   * objects that it has now are reported.
   */
  readonly onEraChanged?: (change: EraChange) => void;
  /**
   * For objects whose value never reverts: its generation, or undefined if the
   * value can't be read.
   */
  readonly generationOf?: (object: StoredObject) => number | undefined;
}

interface Entry {
  readonly object: StoredObject;
  /** In which the object was seen last. */
  readonly era: StoreEra;
}

/** A version lower than those of the platform. */
const EARLIER_ERA_VERSION = 0;

/**
 * Applies updates from the platform and peers; ignores older versions. Objects
 * that a new era lacks are kept until `dropUnconfirmed`, as those who wrote them
 * write them again.
 */
export class ObjectMirror {
  readonly prefix: string;
  readonly #options: MirrorOptions;
  readonly #entries = new Map<string, Entry>();
  #era = FIRST_STORE_ERA;
  #completeRevision: number | undefined;
  /** No object has changed between this revision and the complete one. */
  #contentRevision: number | undefined;
  /** The highest revision that the store has stated in a response to a watch. */
  #reachedRevision = 0;
  #newsVersion = 0;
  /** Changes that haven't been reported yet. */
  #changes: WatchEvent[] = [];
  readonly #listeners: ((changes: ObjectChanges) => void)[] = [];

  constructor(prefix: string, options: MirrorOptions) {
    this.prefix = prefix;
    this.#options = options;
  }

  /** The newest known era, to which the revisions and versions belong. */
  get era(): StoreEra {
    return this.#era;
  }

  /**
   * The revision up to which every change is known; undefined before the first
   * listing.
   */
  get completeRevision(): number | undefined {
    return this.#completeRevision;
  }

  /** Where the next watch begins; undefined before the first listing. */
  get watchPosition(): WatchPosition | undefined {
    const after = this.#completeRevision;
    if (after === undefined) return undefined;
    return { after, reached: Math.max(after, this.#reachedRevision) };
  }

  /** The version of the newest change known to this mirror. */
  get newsVersion(): number {
    return this.#newsVersion;
  }

  get objects(): StoredObject[] {
    return [...this.#entries.values()].map(({ object }) => object);
  }

  /** The object, if the store has it in the present era. */
  confirmed(key: string): StoredObject | undefined {
    const entry = this.#entries.get(key);
    return entry?.era === this.#era ? entry.object : undefined;
  }

  /**
   * Adds a listener to changes from the platform or a peer. It is called once for
   * any number of objects that were updated or deleted together.
   */
  onChanges(listener: (changes: ObjectChanges) => void): void {
    this.#listeners.push(listener);
  }

  /** Returns false if the listing is older than what is known. */
  applyListing(listing: ObjectListing): boolean {
    const { era = FIRST_STORE_ERA, revision, objects } = listing;
    if (era < this.#era) return false;
    if (era === this.#era && revision < (this.#completeRevision ?? 0)) {
      return false;
    }
    this.#enterEra(era);
    const previous = this.#completeRevision;
    this.#replaceAll(objects, revision);
    this.#complete(revision, previous);
    return true;
  }

  /**
   * Applies the response to a watch that began at the position, and returns how
   * many updates were ignored: another VM has told of later changes since. The
   * position and the response have to be of the mirror's era.
   */
  applyWatchResponse(start: WatchPosition, response: WatchResponse): number {
    const { revision, events } = response;
    const ignored = this.#applyEach(events);
    this.#reachedRevision = Math.max(this.#reachedRevision, revision);
    const proven = provenRevision(start, response);
    if (events.length > 0) this.#complete(proven);
    else this.#completeUnchanged(proven);
    return ignored;
  }

  /**
   * Applies what another VM learned from the platform, and returns whether no
   * change before it is missing. Nothing is applied otherwise.
   */
  applyChanges(changes: ObjectChanges): boolean {
    const { era = FIRST_STORE_ERA, after, revision, events } = changes;
    const { differenceFrom = Infinity } = changes;
    const known = this.#completeRevision;
    if (era !== this.#era || known === undefined || known < after) return false;
    if (known > differenceFrom && known < revision) return false;
    this.#applyEach(events);
    this.#complete(revision);
    return true;
  }

  /** Applies a peer's copy if it is newer, and returns whether it was applied. */
  applyCopy(copy: ObjectsCopy): boolean {
    const { era = FIRST_STORE_ERA, revision, objects } = copy;
    if (!this.#isNewer(era, revision)) return this.#takeGenerations(objects);
    this.#enterEra(era);
    const previous = this.#completeRevision;
    this.#replaceAll(objects, revision);
    this.#newsVersion = Math.max(this.#newsVersion, copy.newsVersion);
    this.#complete(revision, previous);
    return true;
  }

  copy(): ObjectsCopy | undefined {
    if (this.#completeRevision === undefined) return undefined;
    return {
      prefix: this.prefix,
      ...(this.#era !== FIRST_STORE_ERA && { era: this.#era }),
      revision: this.#completeRevision,
      newsVersion: this.#newsVersion,
      objects: [...this.#entries.values()].flatMap((entry) =>
        this.#toCopied(entry)
      ),
    };
  }

  /**
   * Removes the objects that the store hasn't had since the era began, and
   * returns how many there were. Has no effect in a later era.
   */
  dropUnconfirmed(era: StoreEra): number {
    if (era !== this.#era || this.#options.generationOf !== undefined) return 0;
    const unconfirmed = [...this.#entries.values()]
      .filter((entry) => entry.era !== this.#era);
    for (const { object } of unconfirmed) this.#remove(object);
    this.#reportChanges(this.#completeRevision);
    return unconfirmed.length;
  }

  /** @param after What is reported has changed after this revision */
  #reportChanges(after: number | undefined, differenceFrom?: number): void {
    const events = this.#changes;
    if (events.length === 0) return;
    this.#changes = [];
    const revision = this.#completeRevision ?? 0;
    const changes: ObjectChanges = {
      prefix: this.prefix,
      ...(this.#era !== FIRST_STORE_ERA && { era: this.#era }),
      after: after ?? revision,
      revision,
      ...(differenceFrom !== undefined && { differenceFrom }),
      events,
    };
    for (const listener of this.#listeners) listener(changes);
  }

  /**
   * Applies events and returns how many were ignored: an update that is no newer
   * than what is known as complete would bring back an object that has been
   * deleted since.
   */
  #applyEach(events: readonly WatchEvent[]): number {
    const known = this.#completeRevision ?? -1;
    let ignored = 0;
    for (const event of events) {
      if (event.kind === "deleted") this.#delete(event.key, event.version);
      else if (event.object.version > known) this.#update(event.object);
      else ignored += 1;
    }
    return ignored;
  }

  #isNewer(era: StoreEra, revision: number): boolean {
    if (era !== this.#era) return era > this.#era;
    return revision > (this.#completeRevision ?? -1);
  }

  #enterEra(era: StoreEra): void {
    if (era === this.#era) return;
    const change = { from: this.#era, to: era };
    const isReturn = this.#completeRevision !== undefined;
    this.#era = era;
    this.#completeRevision = undefined;
    this.#contentRevision = undefined;
    this.#reachedRevision = 0;
    this.#newsVersion = 0;
    if (isReturn) this.#options.onEraChanged?.(change);
  }

  /** Takes what has a higher generation from a copy that isn't newer. */
  #takeGenerations(objects: readonly StoredObject[]): boolean {
    if (this.#options.generationOf === undefined) return false;
    const before = [...this.#entries.values()];
    for (const object of objects) this.#update(object);
    return [...this.#entries.values()]
      .some((entry, index) => entry !== before[index]);
  }

  #toCopied({ object, era }: Entry): StoredObject[] {
    if (era === this.#era) return [object];
    if (this.#options.generationOf === undefined) return [];
    return [{ ...object, version: EARLIER_ERA_VERSION }];
  }

  /**
   * Every change up to the revision has been applied.
   *
   * @param differenceFrom If only their outcome since this revision is known
   */
  #complete(revision: number, differenceFrom?: number): void {
    const after = this.#contentRevision;
    this.#completeUnchanged(revision);
    this.#contentRevision = this.#completeRevision;
    this.#reportChanges(after, differenceFrom);
  }

  /** Nothing has changed between the complete revision and this one. */
  #completeUnchanged(revision: number): void {
    this.#completeRevision = Math.max(this.#completeRevision ?? 0, revision);
  }

  #replaceAll(objects: readonly StoredObject[], revision: number): void {
    const listed = new Set(objects.map((object) => object.key));
    for (const [key, entry] of [...this.#entries]) {
      if (!listed.has(key) && entry.era === this.#era) {
        this.#delete(key, Infinity, revision);
      }
    }
    for (const object of objects) this.#update(object);
  }

  #update(received: StoredObject): void {
    const known = this.#entries.get(received.key);
    const order = this.#compareGenerations(received, known?.object);
    const isKnownVersion = known?.era === this.#era &&
      known.object.version >= received.version;
    if (isKnownVersion && order <= 0) return;
    const object = boundNesting(received);
    this.#newsVersion = Math.max(this.#newsVersion, object.version);
    if (order >= 0) {
      this.#entries.set(object.key, { object, era: this.#era });
    }
    const isRewritten = known !== undefined && known.era !== this.#era &&
      hasSameContent(known.object, object);
    if (isRewritten) return;
    this.#changes.push({ kind: "updated", object });
    this.#options.onUpdated(object);
  }

  /** Positive if the object has a higher generation than the known one. */
  #compareGenerations(
    object: StoredObject,
    known: StoredObject | undefined,
  ): number {
    const { generationOf } = this.#options;
    if (generationOf === undefined || known === undefined) return 0;
    const isSame = known.version === object.version &&
      hasSameContent(known, object);
    if (isSame) return 0;
    return (generationOf(object) ?? -1) - (generationOf(known) ?? -1);
  }

  /** @param deletedAt At the latest, if the version isn't known */
  #delete(key: string, version: number, deletedAt = version): void {
    if (Number.isFinite(version)) {
      this.#newsVersion = Math.max(this.#newsVersion, version);
    }
    const known = this.#entries.get(key);
    if (known === undefined) return;
    if (known.era === this.#era && known.object.version > version) return;
    if (this.#options.generationOf === undefined) {
      this.#remove(known.object, deletedAt);
    }
  }

  #remove(object: StoredObject, version = this.#completeRevision ?? 0): void {
    const { key } = object;
    this.#entries.delete(key);
    this.#changes.push({ kind: "deleted", key, version });
    this.#options.onDeleted(object);
  }
}

function hasSameContent(a: StoredObject, b: StoredObject): boolean {
  return isDeepStrictEqual(a.value, b.value) &&
    isDeepStrictEqual(a.status, b.status) && a.creation === b.creation;
}
