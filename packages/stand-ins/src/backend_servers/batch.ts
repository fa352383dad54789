/**
 * The slots of an engine's batch, handed out by priority.
 *
 * @module
 */

interface Waiter {
  readonly priority: number;
  readonly order: number;
  readonly start: () => void;
}

/** At most `size` calls run at once; a lower priority value starts earlier. */
export class Batch {
  readonly #size: number;
  #running = 0;
  #order = 0;
  #waiters: Waiter[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  get running(): number {
    return this.#running;
  }

  /** Waits for a slot; `leave` must follow. */
  async enter(priority: number, signal: AbortSignal): Promise<void> {
    if (this.#running < this.#size) {
      this.#running++;
      return;
    }
    await new Promise<void>((resolve, reject) => {
      const waiter = { priority, order: this.#order++, start: resolve };
      this.#waiters.push(waiter);
      this.#waiters.sort(compareWaiters);
      signal.addEventListener("abort", () => {
        const isWaiting = this.#waiters.includes(waiter);
        if (!isWaiting) return;
        this.#waiters = this.#waiters.filter((other) => other !== waiter);
        reject(new Error("Interrupted while waiting"));
      }, { once: true });
    });
  }

  leave(): void {
    const next = this.#waiters.shift();
    if (next === undefined) this.#running--;
    else next.start();
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  return a.priority - b.priority || a.order - b.order;
}
