import { type SoftwareVersion, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { ServerRegister } from "../register/server_register.js";
import { NO_ROLLOUTS, type RolloutGate } from "../rollouts/rollout_gate.js";
import {
  ENCODER,
  makeReport,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { BatchServers } from "./batch_servers.js";

const CANDIDATE = toId<SoftwareVersion>("v2");

/** Admits servers of the candidate only by one of these permits. */
class CountedPermits implements RolloutGate {
  permits = 0;
  readonly beginCall: RolloutGate["beginCall"] = (server, route) =>
    NO_ROLLOUTS.beginCall(server, route);
  readonly maySend = (): boolean => true;
  readonly permitCount = (): number => this.permits;
  readonly admits: RolloutGate["admits"] = ({ softwareVersion }) =>
    softwareVersion === CANDIDATE ? "withPermit" : "freely";
  readonly split: RolloutGate["split"] = (_, servers, options) => ({
    free: servers.filter(({ server }) =>
      this.admits(server, options) === "freely"
    ),
    permitted: servers.filter(({ server }) =>
      this.admits(server, options) === "withPermit"
    ),
  });
  readonly takePermit: RolloutGate["takePermit"] = () => {
    if (this.permits === 0) return undefined;
    this.permits -= 1;
    return { expiresAtMs: Infinity, giveBack: () => undefined };
  };
}

describe("the servers of a stage service during a rollout", () => {
  let register: ServerRegister;
  let rollouts: CountedPermits;
  let servers: BatchServers;

  beforeEach(() => {
    register = new ServerRegister(() => undefined);
    rollouts = new CountedPermits();
    servers = new BatchServers({
      register,
      rollouts,
      limitsOf: () => SAMPLE_LIMITS,
      rateLimits: {
        reserve: () => true,
        useReservation: () => undefined,
        requestsPerSecond: () => undefined,
      },
    });
    register.apply(makeReport("old-1"), 0);
    for (const id of ["new-1", "new-2"]) {
      register.apply(makeReport(id, { softwareVersion: CANDIDATE }), 0);
    }
  });

  function idleIds(): string[] {
    return servers.planView(ENCODER, 0).idle.map(({ server }) => server.id);
  }

  it("are planned without the candidate's while there is no permit", () => {
    expect(idleIds()).toEqual(["old-1"]);
  });

  it("include as many of the candidate's as there are permits", () => {
    rollouts.permits = 1;
    expect(idleIds()).toEqual(["new-1", "old-1"]);
  });

  it("get no call at the candidate beyond the permits", () => {
    rollouts.permits = 1;
    const [first, second] = servers.usable(ENCODER)
      .filter(({ server }) => server.softwareVersion === CANDIDATE);
    if (first === undefined || second === undefined) throw new Error("None");
    expect(typeof servers.takePermit(first)).toEqual("object");
    expect(servers.takePermit(second)).toEqual("missing");
  });
});
