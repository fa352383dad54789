/**
 * Accounts for all bytes that the process buffers for others.
 *
 * Load pattern: each request and response is within its own limit, but the
 * limits of all open connections together exceed the VM's memory, above all when
 * clients send or read slowly. Backpressure comes first, then the refusal of new
 * work, then the end of what holds most without progress.
 *
 * @module
 */

export const BUFFER_USES = [
  "requestBodies",
  "serverResponses",
  "unreadResponses",
  "peerFrames",
  "stageState",
] as const;

/** What buffered bytes are held for. */
export type BufferUse = typeof BUFFER_USES[number];

/** What the account asks of those that hold or want bytes. */
export type BufferPressure =
  | "none"
  /** Reads no more from those that already hold much. */
  | "pauseReading"
  /** Refuses new work that needs more than a small buffer. */
  | "refuseWork";

/** Something that holds bytes and can be ended to free them. */
export interface BufferHolder {
  /**
   * Whether ending it loses work that can't be repeated. Such holders are ended
   * only if there is no other.
   */
  readonly isIrreplaceable: () => boolean;
  /** Ends the holder, which closes its buffer. */
  readonly evict: () => void;
}

export interface BufferAccountOptions {
  readonly maxBytes: number;
  readonly nowMs: () => number;
  readonly onEvicted: (eviction: Eviction) => void;
  /** Called when the held bytes have grown, or much was received. */
  readonly onTraffic?: () => void;
}

/** Why and what was ended to free memory. */
export interface Eviction {
  readonly use: BufferUse;
  readonly bytes: number;
  /** Time for which the holder has neither received nor sent. */
  readonly idleMs: number;
  readonly heldBytes: number;
}

/** Shares of the maximum from which on the pressure rises. */
const PAUSE_SHARE = 0.5;
const REFUSE_SHARE = 0.75;
/** A holder without progress for this long is ended before active ones. */
const STALLED_MS = 1000;

export class BufferAccount {
  readonly #options: BufferAccountOptions;
  readonly #buffers = new Set<HeldBuffer>();
  readonly #bytesByUse = new Map<BufferUse, number>();
  readonly #waiting = new Set<() => void>();
  #heldBytes = 0;
  #isEvicting = false;
  #isMemoryCritical = false;

  constructor(options: BufferAccountOptions) {
    this.#options = options;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  get maxBytes(): number {
    return this.#options.maxBytes;
  }

  /** Refuses work while the memory of the process is nearly used up. */
  setMemoryCritical(isCritical: boolean): void {
    this.#isMemoryCritical = isCritical;
    if (!isCritical) this.#notifyRelieved();
  }

  get pressure(): BufferPressure {
    if (this.#isMemoryCritical) return "refuseWork";
    const share = this.#heldBytes / this.#options.maxBytes;
    if (share >= REFUSE_SHARE) return "refuseWork";
    return share >= PAUSE_SHARE ? "pauseReading" : "none";
  }

  heldBytesFor(use: BufferUse): number {
    return this.#bytesByUse.get(use) ?? 0;
  }

  /**
   * Opens a buffer without bytes.
   *
   * @example
   * ```ts
   * const buffer = account.open("requestBodies", { isIrreplaceable, evict });
   * buffer.resize(body.capacity);
   * buffer.close();
   * ```
   */
  open(use: BufferUse, holder: BufferHolder): HeldBuffer {
    const buffer = new HeldBuffer({ use, holder, account: this });
    this.#buffers.add(buffer);
    return buffer;
  }

  /** Calls back once, when reading may go on. */
  onRelieved(listener: () => void): () => void {
    this.#waiting.add(listener);
    return () => {
      this.#waiting.delete(listener);
    };
  }

  get nowMs(): number {
    return this.#options.nowMs();
  }

  /** To be called when much was received that isn't held. */
  noteTraffic(): void {
    this.#options.onTraffic?.();
  }

  /** Called by the buffers. */
  changeBytes(use: BufferUse, difference: number): void {
    this.#heldBytes += difference;
    this.#bytesByUse.set(use, this.heldBytesFor(use) + difference);
    if (difference > 0) {
      this.#evictBeyondMaximum();
      this.noteTraffic();
    } else this.#notifyRelieved();
  }

  /** Called by the buffers. */
  remove(buffer: HeldBuffer): void {
    this.#buffers.delete(buffer);
  }

  #notifyRelieved(): void {
    if (this.#waiting.size === 0 || this.pressure !== "none") return;
    const listeners = [...this.#waiting];
    this.#waiting.clear();
    for (const listener of listeners) listener();
  }

  #evictBeyondMaximum(): void {
    if (this.#isEvicting) return;
    this.#isEvicting = true;
    try {
      while (this.#heldBytes > this.#options.maxBytes) {
        const victim = this.#chooseVictim();
        if (victim === undefined) return;
        const { use, bytes } = victim;
        const idleMs = this.nowMs - victim.lastProgressAtMs;
        victim.evict();
        const { heldBytes } = this;
        this.#options.onEvicted({ use, bytes, idleMs, heldBytes });
      }
    } finally {
      this.#isEvicting = false;
    }
  }

  #chooseVictim(): HeldBuffer | undefined {
    const stalledSinceMs = this.nowMs - STALLED_MS;
    let victim: HeldBuffer | undefined;
    let victimRank = -1;
    for (const buffer of this.#buffers) {
      if (buffer.bytes === 0) continue;
      const isStalled = buffer.lastProgressAtMs <= stalledSinceMs;
      const rank = (buffer.isIrreplaceable ? 0 : 2) + (isStalled ? 1 : 0);
      const isBetter = rank > victimRank ||
        (rank === victimRank && buffer.bytes > (victim?.bytes ?? 0));
      if (!isBetter) continue;
      victim = buffer;
      victimRank = rank;
    }
    return victim;
  }
}

interface HeldBufferOptions {
  readonly use: BufferUse;
  readonly holder: BufferHolder;
  readonly account: BufferAccount;
}

/** The bytes that one holder has in the account. */
export class HeldBuffer {
  readonly #options: HeldBufferOptions;
  #bytes = 0;
  #lastProgressAtMs: number;
  #isClosed = false;

  constructor(options: HeldBufferOptions) {
    this.#options = options;
    this.#lastProgressAtMs = options.account.nowMs;
  }

  get use(): BufferUse {
    return this.#options.use;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** When the holder last received or sent something. */
  get lastProgressAtMs(): number {
    return this.#lastProgressAtMs;
  }

  get isIrreplaceable(): boolean {
    return this.#options.holder.isIrreplaceable();
  }

  /** Sets the number of held bytes, which may evict holders, this one included. */
  resize(bytes: number): void {
    if (this.#isClosed) return;
    const { account, use } = this.#options;
    const difference = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#lastProgressAtMs = account.nowMs;
    if (difference !== 0) account.changeBytes(use, difference);
  }

  evict(): void {
    this.#options.holder.evict();
    this.close();
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const { account, use } = this.#options;
    account.remove(this);
    const bytes = this.#bytes;
    this.#bytes = 0;
    if (bytes > 0) account.changeBytes(use, -bytes);
  }
}
