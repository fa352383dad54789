/**
 * Mirrors of one model store on several VMs. Whatever the store and the VMs send
 * is held back until it is delivered, in any order, or lost.
 *
 * @module
 */

import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { WatchPosition } from "../../platform/watch_position.js";
import { ObjectMirror } from "../object_mirror.js";
import type { ModelStore } from "./model_store.js";

const PREFIX = "objects/";

/** A watch call that the store hasn't answered yet. */
interface WaitingWatch {
  readonly start: WatchPosition;
  readonly beganAt: number;
}

interface FleetMember {
  readonly mirror: ObjectMirror;
  /** The objects as the mirror's owner has been told of them. */
  readonly reported: Map<string, StoredObject>;
  watch: WaitingWatch | "answered" | undefined;
  isApplyingChanges: boolean;
}

/** How the store answers a waiting watch. */
export type WatchAnswer =
  | "complete"
  /** The store doesn't tell what has changed since the call began. */
  | "deaf";

export class MirrorFleet {
  readonly #store: ModelStore;
  readonly #members: FleetMember[];
  readonly #inFlight: (() => void)[] = [];

  constructor(store: ModelStore, size: number) {
    this.#store = store;
    this.#members = Array.from({ length: size }, () => this.#makeMember());
  }

  get size(): number {
    return this.#members.length;
  }

  mirror(index: number): ObjectMirror {
    return this.#member(index).mirror;
  }

  reported(index: number): ReadonlyMap<string, StoredObject> {
    return this.#member(index).reported;
  }

  list(index: number): void {
    const { mirror } = this.#member(index);
    const listing = this.#store.list();
    this.#inFlight.push(() => {
      mirror.applyListing(listing);
    });
  }

  /** Has no effect while a watch call of the VM is in progress. */
  beginWatch(index: number): void {
    const member = this.#member(index);
    const start = member.mirror.watchPosition;
    if (start === undefined || member.watch !== undefined) return;
    member.watch = { start, beganAt: this.#store.revision };
  }

  /** Has no effect if no watch call of the VM is waiting. */
  answerWatch(index: number, answer: WatchAnswer): void {
    const member = this.#member(index);
    const { watch } = member;
    if (watch === undefined || watch === "answered") return;
    const { start, beganAt } = watch;
    const response = this.#store.watch(start.after);
    const isDeaf = answer === "deaf" && !this.#hasChanged(start.after, beganAt);
    member.watch = "answered";
    this.#inFlight.push(() => {
      member.watch = undefined;
      member.mirror.applyWatchResponse(
        start,
        isDeaf ? { ...response, events: [] } : response,
      );
    });
  }

  sendCopy(from: number, to: number): void {
    const copy = this.mirror(from).copy();
    if (copy === undefined) return;
    this.#inFlight.push(() => {
      this.mirror(to).applyCopy(copy);
    });
  }

  /** Delivers one of the messages that are under way. */
  deliver(index: number): void {
    const [message] = this.#inFlight.splice(this.#toPlace(index), 1);
    message?.();
  }

  deliverAll(): void {
    while (this.#inFlight.length > 0) this.deliver(0);
  }

  #toPlace(index: number): number {
    return index % Math.max(1, this.#inFlight.length);
  }

  #hasChanged(after: number, until: number): boolean {
    return this.#store.stateAt(after) !== this.#store.stateAt(until);
  }

  #member(index: number): FleetMember {
    const member = this.#members[index];
    if (member === undefined) throw new RangeError("No such VM");
    return member;
  }

  #makeMember(): FleetMember {
    const reported = new Map<string, StoredObject>();
    const mirror = new ObjectMirror(PREFIX, {
      onUpdated: (object) => reported.set(object.key, object),
      onDeleted: ({ key }) => reported.delete(key),
    });
    const member: FleetMember = {
      mirror,
      reported,
      watch: undefined,
      isApplyingChanges: false,
    };
    this.#shareChanges(member);
    return member;
  }

  /** Like `ChangeSharing`, but from each VM to all others. */
  #shareChanges(sender: FleetMember): void {
    sender.mirror.onChanges((changes) => {
      if (sender.isApplyingChanges) return;
      for (const receiver of this.#members) {
        if (receiver === sender) continue;
        this.#inFlight.push(() => {
          receiver.isApplyingChanges = true;
          receiver.mirror.applyChanges(changes);
          receiver.isApplyingChanges = false;
        });
      }
    });
  }
}
