import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
  BufferAccount,
  type BufferUse,
  type Eviction,
  type HeldBuffer,
} from "./buffer_account.js";

const MB = 1024 * 1024;

describe("BufferAccount", () => {
  let nowMs: number;
  let evictions: Eviction[];
  let account: BufferAccount;

  beforeEach(() => {
    nowMs = 0;
    evictions = [];
    account = new BufferAccount({
      maxBytes: 100 * MB,
      nowMs: () => nowMs,
      onEvicted: (eviction) => {
        evictions.push(eviction);
      },
    });
  });

  function open(
    use: BufferUse,
    bytes: number,
    options: { isIrreplaceable?: boolean; onEvict?: () => void } = {},
  ): HeldBuffer {
    const buffer = account.open(use, {
      isIrreplaceable: () => options.isIrreplaceable ?? false,
      evict: () => options.onEvict?.(),
    });
    buffer.resize(bytes);
    return buffer;
  }

  it("counts by use, and raises the pressure with what is held", () => {
    open("requestBodies", 49 * MB);
    expect(account.pressure).toEqual("none");
    const response = open("unreadResponses", 2 * MB);
    expect(account.pressure).toEqual("pauseReading");
    open("requestBodies", 25 * MB);
    expect(account.pressure).toEqual("refuseWork");
    expect(account.heldBytesFor("requestBodies")).toEqual(74 * MB);
    response.close();
    response.close();
    expect(account.heldBytes).toEqual(74 * MB);
  });

  it("never holds more than its maximum while something can be evicted", () => {
    const evicted: number[] = [];
    for (let n = 0; n < 3000; n++) {
      nowMs += 1;
      open("requestBodies", 4 * MB, { onEvict: () => evicted.push(n) });
      expect(account.heldBytes <= 100 * MB).toEqual(true);
    }
    expect(evicted.length).toEqual(3000 - 25);
    expect(evictions.length).toEqual(evicted.length);
  });

  it("evicts what holds most without progress before what makes progress", () => {
    const active = open("requestBodies", 50 * MB);
    open("unreadResponses", 10 * MB);
    open("requestBodies", 20 * MB);
    nowMs += 2000;
    active.resize(60 * MB);
    open("requestBodies", 15 * MB);
    expect(evictions.map(({ bytes }) => bytes)).toEqual([20 * MB]);
  });

  it("evicts what can't be repeated only if there is nothing else", () => {
    open("requestBodies", 60 * MB, { isIrreplaceable: true });
    nowMs += 2000;
    open("unreadResponses", 1 * MB);
    open("requestBodies", 50 * MB, { isIrreplaceable: true });
    expect(evictions.map(({ bytes }) => bytes)).toEqual([1 * MB, 60 * MB]);
  });

  it("refuses work while the process is short of memory", () => {
    account.setMemoryCritical(true);
    expect(account.pressure).toEqual("refuseWork");
    account.setMemoryCritical(false);
    expect(account.pressure).toEqual("none");
  });

  it("tells those that wait once the pressure is gone", () => {
    const first = open("requestBodies", 40 * MB);
    const second = open("requestBodies", 40 * MB);
    let relieved = 0;
    account.onRelieved(() => {
      relieved += 1;
    });
    account.onRelieved(() => {
      relieved += 10;
    })();
    first.resize(20 * MB);
    expect(relieved).toEqual(0);
    second.close();
    first.close();
    expect(relieved).toEqual(1);
  });
});
