/**
 * Brings a mirror up to date with the platform's store when a decision needs
 * that: a watch tells only later that its VM is cut off.
 *
 * @module
 */

import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface ObjectsConfirmationOptions {
  readonly store: Pick<ObjectStore, "list">;
  readonly mirror: ObjectMirror;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A client waits meanwhile; the store answers in a few milliseconds. */
const CONFIRMATION_TIMEOUT_MS = 300;

export class ObjectsConfirmation {
  readonly #options: ObjectsConfirmationOptions;
  #next: Promise<boolean> | undefined;
  #current: Promise<boolean> | undefined;

  constructor(options: ObjectsConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the mirror holds all that the store held when this was
   * called; never rejects. Callers share calls to the store: at most one is in
   * progress, and one follows it.
   *
   * @example
   * ```ts
   * if (!await confirmation.confirm()) return undefined;
   * ```
   */
  confirm(): Promise<boolean> {
    if (this.#current === undefined) return this.#start();
    // The call in progress may have been answered before.
    this.#next ??= this.#current.then(() => {
      this.#next = undefined;
      return this.#start();
    });
    return this.#next;
  }

  #start(): Promise<boolean> {
    const current = this.#list().finally(() => {
      this.#current = undefined;
    });
    this.#current = current;
    return current;
  }

  async #list(): Promise<boolean> {
    const { store, mirror, metrics, logger } = this.#options;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new Error("The store didn't answer in time"));
      }, CONFIRMATION_TIMEOUT_MS);
    });
    try {
      mirror.applyListing(
        await Promise.race([store.list(mirror.prefix), timeout]),
      );
      metrics.countEvent("objectsConfirmed");
      return true;
    } catch (error) {
      metrics.countEvent("objectsNotConfirmed");
      logger.info("objectsNotConfirmed", {
        objects: mirror.prefix,
        revision: mirror.completeRevision,
        error: String(error),
      });
      return false;
    } finally {
      clearTimeout(timer);
    }
  }
}
