/**
 * Receives the body of one request.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type {
  BufferAccount,
  BufferHolder,
  HeldBuffer,
} from "../memory/buffer_account.js";
import { GrowingBuffer } from "../memory/growing_buffer.js";
import type { ConnectionRead } from "./connection_reads.js";

export type ReceivedBody =
  | { readonly kind: "read"; readonly body: Buffer }
  | { readonly kind: "tooLarge" }
  /** The client disconnected before the end of the body. */
  | { readonly kind: "incomplete" }
  | { readonly kind: "refused"; readonly reason: BodyRefusal };

/** Why a body was given up. Nothing was passed on by then. */
export type BodyRefusal =
  /** Less than the minimum rate. */
  | "tooSlow"
  /** No bytes came for longer than a body may stop. */
  | "stalled"
  /** Its framing costs far more than its bytes, at the expense of others. */
  | "smallChunks"
  /** No bytes came while others waited for memory. */
  | "stalledUnderPressure"
  /** Reading was paused for too long. */
  | "pausedTooLong"
  /** It needs more than a small buffer, and these are the last ones. */
  | "noMemory"
  /** The account needs its memory for others. */
  | "evicted";

/** Least rate of a connection over a time. */
export interface MinRate {
  readonly bytesPerS: number;
  readonly windowMs: number;
}

export interface BodyReceiverOptions {
  readonly maxBytes: number;
  readonly minRate: MinRate;
  /** Longest time without bytes; 0 for no limit. */
  readonly maxStallMs: number;
  readonly nowMs: number;
  readonly connection: ConnectionRead;
  readonly account: BufferAccount;
}

/** A body of this size is read whatever the pressure. */
export const SMALL_BODY_BYTES = 16 * 1024;
/** A body for which reading was paused is then refused. */
const MAX_PAUSE_MS = 1000;
/** While others wait, a body of which nothing comes is then refused. */
const MAX_STALL_MS = 1000;
/** The same for a body that needs only a small buffer. */
const MAX_SMALL_STALL_MS = 3000;
const MS_PER_SECOND = 1000;

export class BodyReceiver {
  readonly #message: IncomingMessage;
  readonly #options: BodyReceiverOptions;
  readonly #buffer: GrowingBuffer;
  readonly #held: HeldBuffer;
  readonly #receivedAll: Promise<ReceivedBody>;
  #settle: (result: ReceivedBody) => void = () => undefined;
  #isSettled = false;
  #forgetRelief: (() => void) | undefined;
  #pausedAtMs: number | undefined;
  #lastCheckMs: number;
  #lastChunkAtMs: number;
  #bytesSinceCheck = 0;
  /** Time within the window in which reading wasn't paused. */
  #windowMs = 0;
  #windowBytes = 0;

  /** @param holder Ends the request once its body has been read */
  constructor(
    message: IncomingMessage,
    holder: BufferHolder,
    options: BodyReceiverOptions,
  ) {
    this.#message = message;
    this.#options = options;
    this.#lastCheckMs = options.nowMs;
    this.#lastChunkAtMs = options.nowMs;
    const declaredBytes = declaredLength(message);
    this.#buffer = new GrowingBuffer(
      Math.min(declaredBytes ?? options.maxBytes, options.maxBytes),
    );
    this.#held = options.account.open("requestBodies", {
      isIrreplaceable: () => this.#isSettled && holder.isIrreplaceable(),
      evict: () => {
        if (this.#isSettled) holder.evict();
        else this.#refuse("evicted");
      },
    });
    this.#receivedAll = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#start(declaredBytes);
  }

  /** Resolves once, also if the body isn't read to its end. */
  get result(): Promise<ReceivedBody> {
    return this.#receivedAll;
  }

  get receivedBytes(): number {
    return this.#buffer.length;
  }

  /** Frees what the body occupies in the account. */
  release(): void {
    this.#held.close();
  }

  /** To be called at regular intervals until the body is received. */
  check(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastCheckMs;
    this.#lastCheckMs = nowMs;
    if (this.#bytesSinceCheck > 0) this.#lastChunkAtMs = nowMs;
    this.#windowBytes += this.#bytesSinceCheck;
    this.#bytesSinceCheck = 0;
    if (this.#pausedAtMs !== undefined) {
      if (nowMs - this.#pausedAtMs >= MAX_PAUSE_MS) {
        this.#refuse("pausedTooLong");
      }
      return;
    }
    if (this.#options.connection.isPaused) {
      this.#lastChunkAtMs = nowMs;
      return;
    }
    this.#windowMs += elapsedMs;
    if (this.#checkStall(nowMs - this.#lastChunkAtMs)) return;
    this.#checkRate();
  }

  /** Returns whether the body was refused. */
  #checkStall(stalledMs: number): boolean {
    const { account, maxStallMs } = this.#options;
    const maxUnderPressureMs = this.#isLarge
      ? MAX_STALL_MS
      : MAX_SMALL_STALL_MS;
    if (stalledMs >= maxUnderPressureMs && account.pressure !== "none") {
      this.#refuse("stalledUnderPressure");
      return true;
    }
    if (maxStallMs === 0 || stalledMs < maxStallMs) return false;
    this.#refuse("stalled");
    return true;
  }

  #checkRate(): void {
    const { bytesPerS, windowMs } = this.#options.minRate;
    if (this.#windowMs < windowMs) return;
    const minBytes = bytesPerS * this.#windowMs / MS_PER_SECOND;
    if (this.#windowBytes < minBytes) this.#refuse("tooSlow");
    this.#windowMs = 0;
    this.#windowBytes = 0;
  }

  #start(declaredBytes: number | undefined): void {
    const message = this.#message;
    const { maxBytes, account } = this.#options;
    if (declaredBytes !== undefined && declaredBytes > maxBytes) {
      this.#finish({ kind: "tooLarge" });
    } else if (
      (declaredBytes ?? 0) > SMALL_BODY_BYTES &&
      account.pressure === "refuseWork"
    ) {
      this.#refuse("noMemory");
    }
    message.on("data", (chunk: Buffer) => {
      this.#receive(chunk);
    });
    message.once("end", () => {
      this.#complete();
    });
    message.on("error", () => {
      this.#finish({ kind: "incomplete" });
    });
    message.once("close", () => {
      this.#finish({ kind: "incomplete" });
    });
  }

  /** What comes after the body was given up is counted and dropped. */
  #receive(chunk: Buffer): void {
    const { connection, maxBytes } = this.#options;
    const verdict = connection.countChunk(chunk.length);
    if (this.#isSettled) return;
    if (verdict === "wasteful") {
      connection.end();
      this.#refuse("smallChunks");
      return;
    }
    if (this.#buffer.length + chunk.length > maxBytes) {
      this.#finish({ kind: "tooLarge" });
      return;
    }
    const { capacity } = this.#buffer;
    this.#buffer.append(chunk);
    this.#bytesSinceCheck += chunk.length;
    if (this.#buffer.capacity === capacity) return;
    this.#held.resize(this.#buffer.capacity);
    this.#obeyPressure();
  }

  get #isLarge(): boolean {
    return this.#buffer.capacity > SMALL_BODY_BYTES;
  }

  #obeyPressure(): void {
    if (this.#isSettled || !this.#isLarge) return;
    const { account, connection } = this.#options;
    const { pressure } = account;
    if (pressure === "none" || this.#pausedAtMs !== undefined) return;
    if (pressure === "refuseWork") {
      this.#refuse("noMemory");
      return;
    }
    this.#pausedAtMs = this.#lastCheckMs;
    connection.pause("memory");
    this.#forgetRelief = account.onRelieved(() => {
      this.#endPause();
    });
  }

  #endPause(): void {
    this.#forgetRelief?.();
    this.#forgetRelief = undefined;
    if (this.#pausedAtMs === undefined) return;
    this.#pausedAtMs = undefined;
    this.#lastChunkAtMs = this.#lastCheckMs;
    this.#options.connection.resume("memory");
  }

  #complete(): void {
    if (this.#isSettled) return;
    if (!this.#message.complete) {
      this.#finish({ kind: "incomplete" });
      return;
    }
    this.#isSettled = true;
    this.#endPause();
    this.#settle({ kind: "read", body: this.#buffer.take() });
  }

  #refuse(reason: BodyRefusal): void {
    this.#finish({ kind: "refused", reason });
  }

  #finish(result: ReceivedBody): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#buffer.take();
    this.#held.close();
    this.#endPause();
    this.#settle(result);
  }
}

/** Undefined for a body in chunks. */
function declaredLength(message: IncomingMessage): number | undefined {
  const text = message.headers["content-length"];
  if (text !== undefined) return Number(text);
  return message.headers["transfer-encoding"] === undefined ? 0 : undefined;
}
