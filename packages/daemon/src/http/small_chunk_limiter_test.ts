import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
  type ConnectionChunkLimiter,
  SmallChunkLimiter,
} from "./small_chunk_limiter.js";

interface Timer {
  readonly atMs: number;
  readonly callback: () => void;
}

/** Virtual time in which a turn of the event loop takes 1 ms. */
class VirtualLoop {
  nowMs = 0;
  #timers: Timer[] = [];

  setTimer(callback: () => void, delayMs: number): void {
    this.#timers.push({ atMs: this.nowMs + delayMs, callback });
  }

  nextTurn(callback: () => void): void {
    this.#timers.push({ atMs: this.nowMs, callback });
  }

  runTurn(): void {
    this.nowMs += 1;
    const due = this.#timers.filter(({ atMs }) => atMs < this.nowMs);
    this.#timers = this.#timers.filter(({ atMs }) => atMs >= this.nowMs);
    for (const { callback } of due) callback();
  }
}

/** Receives as many chunks as it may, up to a number in each turn. */
class Sender {
  received = 0;
  #isPaused = false;
  readonly #limiter: ConnectionChunkLimiter;

  constructor(limiter: SmallChunkLimiter) {
    this.#limiter = limiter.forConnection(() => {
      this.#isPaused = false;
    });
  }

  runTurn(chunks: number, chunkBytes = 1): void {
    for (let n = 0; n < chunks && !this.#isPaused; n++) {
      this.received += 1;
      this.#isPaused = !this.#limiter.receive(chunkBytes);
    }
  }
}

describe("SmallChunkLimiter", () => {
  let loop: VirtualLoop;
  let limiter: SmallChunkLimiter;

  beforeEach(() => {
    loop = new VirtualLoop();
    limiter = new SmallChunkLimiter({
      nowMs: () => loop.nowMs,
      setTimer: (callback, delayMs) => {
        loop.setTimer(callback, delayMs);
      },
      nextTurn: (callback) => {
        loop.nextTurn(callback);
      },
    });
  });

  it("never pauses an engine that sends 4,000 events a second", () => {
    const engine = new Sender(limiter);
    for (let n = 0; n < 5000; n++) {
      engine.runTurn(4);
      loop.runTurn();
    }
    expect(engine.received).toEqual(20_000);
  });

  it("doesn't count chunks of ordinary size", () => {
    const sender = new Sender(limiter);
    for (let n = 0; n < 100; n++) {
      sender.runTurn(1000, 1460);
      loop.runTurn();
    }
    expect(sender.received).toEqual(100_000);
  });

  it("bounds what a flood of small chunks gets in each turn and each second", () => {
    const senders = Array.from({ length: 64 }, () => new Sender(limiter));
    let most = 0;
    for (let n = 0; n < 10_000; n++) {
      const before = senders.reduce((sum, { received }) => sum + received, 0);
      for (const sender of senders) sender.runTurn(10_000);
      const after = senders.reduce((sum, { received }) => sum + received, 0);
      most = Math.max(most, after - before);
      loop.runTurn();
    }
    const total = senders.reduce((sum, { received }) => sum + received, 0);
    expect(most <= 2048 + senders.length).toEqual(true);
    expect(total <= 16_384 + 64 * 1024 + 10 * 64_000 * 1.1).toEqual(true);
  });

  it("lets a connection with few chunks through beside a flood", () => {
    const senders = Array.from({ length: 64 }, () => new Sender(limiter));
    const engine = new Sender(limiter);
    let expected = 0;
    for (let n = 0; n < 5000; n++) {
      for (const sender of senders) sender.runTurn(10_000);
      loop.runTurn();
      if (n % 20 !== 0) continue;
      engine.runTurn(1);
      expected += 1;
    }
    expect(engine.received >= expected * 0.99).toEqual(true);
  });

  it("makes a connection pay for chunks that came during its pause", () => {
    let resumedAtMs: number | undefined;
    const connection = limiter.forConnection(() => {
      resumedAtMs = loop.nowMs;
    });
    // What the HTTP library parses in one piece.
    for (let n = 0; n < 9024; n++) connection.receive(1);
    for (let n = 0; n < 3000 && resumedAtMs === undefined; n++) loop.runTurn();
    expect((resumedAtMs ?? 0) >= 1000).toEqual(true);
    expect(connection.isPaused).toEqual(false);
  });
});
