import {
  type ServiceName,
  type SoftwareVersion,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { Metrics } from "../observability/metrics.js";
import {
  type RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import { makeReport } from "../testing/stage_samples.js";
import { BlockedVersions } from "./blocked_versions.js";
import { CallsInFlight } from "./calls_in_flight.js";
import type { Rollout } from "./rollout_request.js";
import { ServiceRollout } from "./service_rollout.js";
import { VersionGate } from "./version_gate.js";
import { VersionSightings } from "./version_sightings.js";

const SERVICE = toId<ServiceName>("registry");
const CANDIDATE = toId<SoftwareVersion>("v2");
const ROUTE = "lookup";
const NEW_WORK = { isContinuation: false };
const CONTINUATION = { isContinuation: true };
const ROLLOUT: Rollout = {
  key: "rollouts/registry",
  revision: 1,
  request: {
    id: "1/v2",
    service: SERVICE,
    to: CANDIDATE,
    durationMs: 12_000,
  },
  state: "serving",
};

describe("VersionGate", () => {
  let nowMs: number;
  let view: ServiceRollout;
  let gate: VersionGate;
  let register: ServerRegister;

  beforeEach(() => {
    nowMs = 10_000;
    register = new ServerRegister(() => undefined);
    for (const version of ["v1", "v2"]) {
      const softwareVersion = toId<SoftwareVersion>(version);
      const report = { service: SERVICE, softwareVersion };
      register.apply(makeReport(version, report), 0);
    }
    const sightings = new VersionSightings(-10_000);
    for (const server of register.allServers()) sightings.record(server, 0);
    view = new ServiceRollout(ROLLOUT, 5000, nowMs);
    gate = new VersionGate({
      register,
      sightings,
      viewOf: () => view,
      blocked: new BlockedVersions(),
      inFlight: new CallsInFlight(),
      clock: { nowMs: () => nowMs },
      metrics: new Metrics(),
    });
  });

  function server(version: string): RegisteredServer {
    const found = register.allServers().find((one) =>
      one.softwareVersion === version
    );
    if (found === undefined) throw new Error("No such server");
    return found;
  }

  function grant(count: number, revision = 1): boolean {
    return view.applyPermits({
      request: "1/v2",
      candidate: CANDIDATE,
      sequence: 1,
      term: `term-${revision}`,
      revision,
      era: 0,
      reserved: count,
      phase: "observing",
      grants: [{ route: ROUTE, count }],
      servers: [server("v2").id],
    }, { sentAtMs: nowMs, nowMs });
  }

  it("lets nothing reach an undecided candidate without a permit", () => {
    expect(gate.admits(server("v2"), NEW_WORK)).toEqual("never");
    expect(gate.maySend(server("v2"), undefined, CONTINUATION)).toEqual(false);
    grant(1);
    expect(gate.admits(server("v2"), NEW_WORK)).toEqual("withPermit");
    expect(gate.maySend(server("v2"), undefined, NEW_WORK)).toEqual(false);
    const permit = gate.takePermit(server("v2"), ROUTE);
    expect(gate.maySend(server("v2"), permit, NEW_WORK)).toEqual(true);
    expect(gate.takePermit(server("v2"), ROUTE)).toEqual(undefined);
  });

  it("doesn't let a request use a permit that expired while it waited", () => {
    grant(1);
    const permit = gate.takePermit(server("v2"), ROUTE);
    nowMs += 1500;
    expect(gate.maySend(server("v2"), permit, NEW_WORK)).toEqual(false);
  });

  it("refuses the permits of an owner that has been replaced", () => {
    expect(grant(1, 5)).toEqual(true);
    expect(grant(1, 4)).toEqual(false);
    expect(gate.permitCount(SERVICE, ROUTE)).toEqual(1);
  });

  it("lets nothing new reach a version after its roll-back", () => {
    grant(2);
    const permit = gate.takePermit(server("v2"), ROUTE);
    view.applyDecision("rolledBack", nowMs);
    expect(gate.maySend(server("v2"), permit, NEW_WORK)).toEqual(false);
    expect(gate.maySend(server("v2"), permit, CONTINUATION)).toEqual(false);
    expect(gate.takePermit(server("v2"), ROUTE)).toEqual(undefined);
    expect(gate.admits(server("v1"), NEW_WORK)).toEqual("freely");
  });

  it("sends new work to the candidate only, while the owner is heard", () => {
    view.applyDecision("shifting", nowMs);
    expect(gate.admits(server("v2"), NEW_WORK)).toEqual("freely");
    expect(gate.admits(server("v1"), NEW_WORK)).toEqual("never");
    expect(gate.admits(server("v1"), CONTINUATION)).toEqual("freely");
    nowMs += 3000;
    expect(gate.admits(server("v2"), NEW_WORK)).toEqual("never");
    expect(gate.admits(server("v1"), NEW_WORK)).toEqual("freely");
  });

  it("doesn't undo a stored verdict when the store comes back older", () => {
    view.applyStored({ ...ROLLOUT, state: "completed" }, nowMs);
    view.applyStored(ROLLOUT, nowMs);
    expect(gate.admits(server("v2"), NEW_WORK)).toEqual("freely");
    expect(gate.admits(server("v1"), CONTINUATION)).toEqual("never");
  });
});
