/**
 * A counting semaphore whose waiters are served by priority.
 *
 * @module
 */

interface Waiter {
  readonly priority: number;
  readonly order: number;
  readonly grant: () => void;
}

/** Has `size` slots; waiters with a lower priority value are served first. */
export class PrioritySemaphore {
  readonly #size: number;
  #inUse = 0;
  #nextOrder = 0;
  #waiters: Waiter[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  get inUse(): number {
    return this.#inUse;
  }

  /**
   * Waits for a slot, which must be freed with `release`. Rejects when the
   * signal is aborted while waiting.
   */
  async acquire(priority: number, signal: AbortSignal): Promise<void> {
    if (this.#inUse < this.#size) {
      this.#inUse++;
      return;
    }
    await new Promise<void>((resolve, reject) => {
      const waiter = { priority, order: this.#nextOrder++, grant: resolve };
      this.#waiters.push(waiter);
      this.#waiters.sort(compareWaiters);
      signal.addEventListener("abort", () => {
        const isWaiting = this.#waiters.includes(waiter);
        if (!isWaiting) return;
        this.#waiters = this.#waiters.filter((other) => other !== waiter);
        reject(new Error("Call interrupted while waiting for a slot"));
      }, { once: true });
    });
  }

  release(): void {
    const next = this.#waiters.shift();
    if (next === undefined) this.#inUse--;
    else next.grant();
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  return a.priority - b.priority || a.order - b.order;
}
