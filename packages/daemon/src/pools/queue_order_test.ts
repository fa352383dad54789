import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { PermitQueue } from "./permit_queue.js";
import {
  createQueueOrder,
  type QueueOrder,
  type QueueOrderName,
} from "./queue_order.js";
import {
  makePermitRequest,
  makeVmId,
  type TestPermitRequest,
} from "./testing/test_configuration.js";
import type { WaitingRequest } from "./waiting_request.js";

const ORDERS: QueueOrderName[] = ["arrival", "deadline", "slack", "excessWait"];
const SHARES = { small: 1, large: 1, heavy: 3 } as const;

let lastNumber = 0;

function makeWaiting(
  permitRequest: TestPermitRequest = {},
  receivedAtMs = 0,
): WaitingRequest {
  lastNumber += 1;
  const made = makePermitRequest(permitRequest);
  return {
    permitRequest: made,
    from: makeVmId("vm-1"),
    receivedAtMs,
    latestStartAtMs: receivedAtMs + made.latestStartInMs,
    deadlineAtMs: receivedAtMs + made.deadlineInMs,
    number: lastNumber,
    share: SHARES[permitRequest.account ?? "small"],
  };
}

function makeOrder(name: QueueOrderName): QueueOrder {
  return createQueueOrder(name, { maxAgeMs: 30_000 });
}

function takeAll(order: QueueOrder, nowMs = 0): WaitingRequest[] {
  const taken: WaitingRequest[] = [];
  for (;;) {
    const next = order.takeNext(nowMs);
    if (next === undefined) return taken;
    taken.push(next);
  }
}

function countOf(
  permitRequests: readonly WaitingRequest[],
  account: string,
): number {
  return permitRequests.filter((w) =>
    w.permitRequest.clientAccountId === account
  ).length;
}

describe("createQueueOrder", () => {
  for (const name of ORDERS) {
    it(`neither loses nor duplicates permit requests in the order "${name}"`, () => {
      const permitRequest = fc.record({
        account: fc.constantFrom<"small" | "large">("small", "large"),
        urgency: fc.constantFrom<"counter" | "deferrable">(
          "counter",
          "deferrable",
        ),
        latestStartInMs: fc.nat(2000),
        likelyDurationMs: fc.nat(500),
      });
      fc.assert(
        fc.property(
          fc.array(fc.tuple(permitRequest, fc.nat(3)), { maxLength: 60 }),
          (steps) => {
            const order = makeOrder(name);
            const queued = new Set<WaitingRequest>();
            for (const [index, [made, kind]] of steps.entries()) {
              const [first] = queued;
              if (kind === 0 && first !== undefined) {
                order.remove(first);
                queued.delete(first);
              } else if (kind === 1) {
                const taken = order.takeNext(10 * index);
                expect(taken === undefined).toEqual(queued.size === 0);
                if (taken !== undefined) order.putBack(taken);
              } else {
                const added = makeWaiting(made, 10 * index);
                order.add(added);
                queued.add(added);
              }
            }
            const taken = takeAll(order, 10_000);
            expect(taken.length).toEqual(queued.size);
            expect(new Set(taken)).toEqual(queued);
          },
        ),
        { seed: 3 },
      );
    });
  }
});

describe("SlackOrder", () => {
  it("serves counter requests first, and less slack before more", () => {
    const order = makeOrder("slack");
    const deferrable = makeWaiting({
      urgency: "deferrable",
      latestStartInMs: 100,
    });
    const relaxed = makeWaiting({ latestStartInMs: 900 });
    const urgent = makeWaiting({ latestStartInMs: 300 });
    for (const waiting of [deferrable, relaxed, urgent]) order.add(waiting);
    expect(takeAll(order)).toEqual([urgent, relaxed, deferrable]);
  });

  it("preserves a small account's share during a large account's burst", () => {
    const order = makeOrder("slack");
    // By slack alone, the whole burst would be served first.
    for (let index = 0; index < 400; index++) {
      order.add(makeWaiting({ account: "large", latestStartInMs: 500 }));
    }
    for (let index = 0; index < 100; index++) {
      order.add(makeWaiting({ account: "small", latestStartInMs: 1500 }));
    }
    const served = takeAll(order).slice(0, 150);
    // Half of the 150, less the large account's allowance of one second.
    expect(countOf(served, "small") >= 65).toEqual(true);
  });

  it("serves accounts in proportion to their shares", () => {
    const order = makeOrder("slack");
    for (let index = 0; index < 400; index++) {
      order.add(makeWaiting({ account: "heavy" }));
      order.add(makeWaiting({ account: "small" }));
    }
    const served = takeAll(order).slice(0, 400);
    const ratio = countOf(served, "heavy") / countOf(served, "small");
    expect(ratio > 2.5 && ratio < 3.5).toEqual(true);
  });

  it("doesn't starve deferrable work that has aged", () => {
    const order = makeOrder("slack");
    for (let index = 0; index < 10; index++) {
      order.add(makeWaiting({ urgency: "deferrable" }));
    }
    for (let index = 0; index < 100; index++) order.add(makeWaiting());
    const early = takeAll(order, 0).slice(0, 100);
    expect(early.every((w) => w.permitRequest.urgency === "counter")).toEqual(
      true,
    );
    const agedOrder = makeOrder("slack");
    for (let index = 0; index < 10; index++) {
      agedOrder.add(makeWaiting({ urgency: "deferrable" }));
    }
    for (let index = 0; index < 100; index++) agedOrder.add(makeWaiting());
    const late = takeAll(agedOrder, 1000).slice(0, 40);
    const deferrable = late.filter((w) =>
      w.permitRequest.urgency === "deferrable"
    );
    expect(deferrable.length).toEqual(10);
  });
});

describe("ExcessWaitOrder", () => {
  it("serves the shortest request first, but those with excess wait before all others", () => {
    const order = makeOrder("excessWait");
    const long = makeWaiting({ likelyDurationMs: 300, latestStartInMs: 400 });
    const short = makeWaiting({ likelyDurationMs: 10, latestStartInMs: 4000 });
    order.add(long);
    order.add(short);
    expect(takeAll(order, 0)).toEqual([short, long]);
    order.add(long);
    order.add(short);
    expect(takeAll(order, 250)).toEqual([long, short]);
  });
});

describe("PermitQueue", () => {
  it("sheds a request of the account that holds the most when the queue is full", () => {
    const queue = new PermitQueue(makeOrder("slack"), 10);
    for (let index = 0; index < 10; index++) {
      queue.add(makeWaiting({ account: "large" }));
    }
    expect(queue.add(makeWaiting({ account: "large" })).kind).toEqual(
      "shareExceeded",
    );
    const admission = queue.add(makeWaiting({ account: "small" }));
    expect(admission.kind).toEqual("admittedInsteadOf");
    expect(queue.size).toEqual(10);
  });

  it("counts less work ahead for an account within its share", () => {
    const queue = new PermitQueue(makeOrder("slack"), 1000);
    for (let index = 0; index < 100; index++) {
      queue.add(makeWaiting({ account: "large", likelyDurationMs: 100 }));
    }
    const small = makeWaiting({ account: "small", likelyDurationMs: 100 });
    const large = makeWaiting({ account: "large", likelyDurationMs: 100 });
    expect(queue.workAhead(large)).toEqual({
      urgencyBoundMs: 10_100,
      shareBoundMs: 10_100,
    });
    expect(queue.workAhead(small)).toEqual({
      urgencyBoundMs: 10_100,
      shareBoundMs: 200,
    });
  });

  it("removes requests that can no longer start in time", () => {
    const queue = new PermitQueue(makeOrder("slack"), 10);
    const early = makeWaiting({ latestStartInMs: 100 });
    queue.add(makeWaiting({ latestStartInMs: 500 }));
    queue.add(early);
    expect(queue.takeExpired(100)).toEqual([early]);
    expect(queue.size).toEqual(1);
  });
});
