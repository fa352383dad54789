import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { ColdSignSender } from "./cold_sign_sender.js";
import type { PoolContext } from "./pool_context.js";
import {
  makePermitRequest,
  makeVmId,
} from "./test_support/test_configuration.js";
import { WarmUpLog } from "./warm_up_log.js";

const { pool } = makePermitRequest();
const server = toId<BackendServerId>("palermo-1");

describe("ColdSignSender", () => {
  let told: string[];
  let warmUpState: WarmUpLog;
  let sender: ColdSignSender;

  beforeEach(() => {
    told = [];
    warmUpState = new WarmUpLog();
    const context: Pick<PoolContext, "members"> = {
      members: [{
        vmId: makeVmId("vm-2"),
        dataCentre: pool.dataCentre,
        state: "live",
        isSelf: false,
        generation: 1,
      }],
    };
    sender = new ColdSignSender({
      context: context as PoolContext,
      link: {
        send: (to) => {
          told.push(to);
          return true;
        },
      },
      warmUpState,
    });
  });

  it("tells of a cold start although it knows of an earlier one", () => {
    // The calls that showed the server warm since then were other daemons'.
    warmUpState.note(server, { warmUpState: "cold", seenAtMs: 1000 });
    sender.send(pool, server, 5000);
    expect(told).toEqual(["vm-2"]);
    expect(warmUpState.of(server)).toEqual({
      warmUpState: "cold",
      seenAtMs: 5000,
    });
  });

  it("tells once of what several calls show at a time", () => {
    for (const nowMs of [5000, 5001, 5040]) sender.send(pool, server, nowMs);
    expect(told).toEqual(["vm-2"]);
    sender.send(pool, server, 5500);
    expect(told).toEqual(["vm-2", "vm-2"]);
  });
});
