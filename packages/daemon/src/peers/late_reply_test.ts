import {
  type AttemptId,
  type BackendServerId,
  type ServiceName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate as waitForTurn } from "node:timers/promises";
import { RateLimitClient } from "../rate_limits/rate_limit_client.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { OriginLookup } from "../stream_versions/origin_lookup.js";

const OTHER_VM = toId<VmId>("vm-2");
/** Longer than the time for which a VM waits for another one's answer. */
const DELAY_MS = 150;

/** Has an answer to each question by the next poll of the sockets. */
class AnsweringNetwork extends LinkedVm {
  override send(_to: VmId, message: PeerMessage): boolean {
    setImmediate(() => {
      this.#answer(message);
    });
    return true;
  }

  #answer(message: PeerMessage): void {
    const from = { ...this.self, vmId: OTHER_VM };
    if (message.type === "rateRequest") {
      void this.messages.emit("rateDecision", {
        from,
        message: {
          type: "rateDecision",
          requestNumber: message.requestNumber,
          isGranted: true,
          retryAfterMs: 0,
          stated: undefined,
        },
      });
    } else if (message.type === "streamOriginRequest") {
      void this.messages.emit("streamOriginReply", {
        from,
        message: {
          type: "streamOriginReply",
          requestNumber: message.requestNumber,
          origin: undefined,
          observation: {} as never,
        },
      });
    }
  }
}

/** Delays the event loop, so that timers are due before the next poll. */
function blockEventLoop(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, DELAY_MS);
}

describe("an answer of another VM that has arrived while this VM was late", () => {
  it("grants the request that waits for a rate limit", async () => {
    const timeouts: BackendServerId[] = [];
    const client = new RateLimitClient({
      network: new AnsweringNetwork("vm-1"),
      onStated: () => undefined,
      onTimeout: (id) => timeouts.push(id),
    });
    await waitForTurn();
    const decision = client.ask(OTHER_VM, {
      backendServerId: toId<BackendServerId>("server-1"),
      requestsPerSecond: 5,
      stated: undefined,
    });
    blockEventLoop();
    expect((await decision).kind).toEqual("granted");
    expect(timeouts).toEqual([]);
  });

  it("counts in the lookup of a stream's origin", async () => {
    const lookup = new OriginLookup(new AnsweringNetwork("vm-1"));
    await waitForTurn();
    const answers = lookup.ask([OTHER_VM], {
      attemptId: toId<AttemptId>("attempt-1"),
      service: toId<ServiceName>("draft"),
    });
    blockEventLoop();
    expect((await answers).observations.length).toEqual(1);
  });
});
