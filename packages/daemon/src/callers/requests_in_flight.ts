/**
 * Counts the requests in progress, for a graceful shutdown.
 *
 * @module
 */

/**
 * @example
 * ```ts
 * inFlight.track(running.finished);
 * await inFlight.drained();
 * ```
 */
export class RequestsInFlight {
  #count = 0;
  #drainWaiters: (() => void)[] = [];

  get count(): number {
    return this.#count;
  }

  /** Counts the work until its promise is fulfilled or rejected. */
  track(work: Promise<unknown>): void {
    this.#count += 1;
    const finish = (): void => {
      this.#count -= 1;
      if (this.#count > 0) return;
      for (const resolve of this.#drainWaiters.splice(0)) resolve();
    };
    work.then(finish, finish);
  }

  drained(): Promise<void> {
    if (this.#count === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#drainWaiters.push(resolve);
    });
  }
}
