import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type CandidateServer,
  chooseExposedServers,
} from "./candidate_servers.js";
import { choosePermit } from "./held_permits.js";
import type { CandidateVerdict } from "./judge_candidate.js";
import { nextPhase, type PhaseInput } from "./plan_rollout.js";

const SOUND: CandidateVerdict = {
  kind: "sound",
  reason: "as current version",
  samples: 100,
  bad: 0,
};
const FAULTY: CandidateVerdict = { ...SOUND, kind: "faulty", bad: 20 };
const SCARCE: CandidateVerdict = { ...SOUND, kind: "undecided", samples: 30 };

function phaseOf(input: Partial<PhaseInput>): string {
  return nextPhase({
    phase: "observing",
    nowMs: 7000,
    orderedAtMs: 0,
    durationMs: 12_000,
    verdict: SOUND,
    inFlightAtCurrent: 3,
    unconfirmedVms: 0,
    candidateServers: 5,
    currentServers: 5,
    hasSeenCurrentVersion: true,
    ...input,
  }).phase;
}

describe("nextPhase", () => {
  // A fault that starts at 6 s would go unnoticed after an early shift.
  it("observes until the drain needs the time left", () => {
    expect(phaseOf({ nowMs: 6900 })).toEqual("observing");
    expect(phaseOf({})).toEqual("shifting");
  });

  it("rolls a faulty version back from any phase but the final ones", () => {
    const phases = ["observing", "shifting", "completed"] as const;
    expect(phases.map((phase) => phaseOf({ phase, verdict: FAULTY })))
      .toEqual(["rolledBack", "rolledBack", "completed"]);
  });

  // The shift of a version that wasn't observed breaks the exposure rule.
  it("shifts with scarce samples only if they cover all routes", () => {
    const verdict = { ...SCARCE, missRisk: 0.05 };
    expect(phaseOf({ verdict })).toEqual("shifting");
    expect(phaseOf({ verdict: { ...verdict, missRisk: 0.9 } }))
      .toEqual("observing");
    expect(phaseOf({ verdict: { ...verdict, bad: 1 } })).toEqual("observing");
  });

  // The old servers stop without draining when the status is written.
  it("completes when all is drained and confirmed, or at the last moment", () => {
    const input = { phase: "shifting" as const, inFlightAtCurrent: 0 };
    expect(phaseOf({ ...input, unconfirmedVms: 1 })).toEqual("shifting");
    expect(phaseOf({ ...input, inFlightAtCurrent: 1 })).toEqual("shifting");
    expect(phaseOf(input)).toEqual("completed");
    expect(phaseOf({ ...input, unconfirmedVms: 1, nowMs: 11_000 }))
      .toEqual("completed");
  });

  it("leaves the status open while no server has the version", () => {
    const verdict = { ...SCARCE, samples: 0 };
    expect(phaseOf({ candidateServers: 0, verdict, nowMs: 13_000 }))
      .toEqual("observing");
  });

  it("completes at once if there is no other version", () => {
    expect(phaseOf({
      currentServers: 0,
      hasSeenCurrentVersion: false,
      verdict: SCARCE,
      nowMs: 100,
    })).toEqual("completed");
  });
});

describe("chooseExposedServers", () => {
  function makeServer(
    index: number,
    server: Partial<CandidateServer> = {},
  ): CandidateServer {
    return {
      id: toId<BackendServerId>(`s${index}`),
      dataCentre: toId(`dc-${index % 3}`),
      isCold: false,
      samples: 0,
      ...server,
    };
  }
  const rates = { permittedPerSecond: 9, currentPerServerPerSecond: 3 };

  // Spread over all servers, a fault under load wouldn't show.
  it("concentrates requests on as many as get their usual load", () => {
    const servers = Array.from({ length: 9 }, (_, index) => makeServer(index));
    const chosen = chooseExposedServers({ servers, previous: [], ...rates });
    expect(chosen).toEqual(["s0", "s1", "s2"].map((id) => toId(id)));
  });

  it("moves on from bad, cold and sufficiently sampled servers", () => {
    const servers = [
      makeServer(0),
      makeServer(1, { samples: 12 }),
      makeServer(2, { isCold: true }),
      makeServer(3),
      makeServer(4),
    ];
    const badServer = toId<BackendServerId>("s0");
    const slow = { ...rates, permittedPerSecond: 1 };
    expect(chooseExposedServers({ servers, previous: [], badServer, ...slow }))
      .toEqual(["s3", "s4"].map((id) => toId(id)));
  });
});

describe("choosePermit", () => {
  it("uses permits for other routes when they have been held, until they expire", () => {
    const permit = { route: "a", receivedAtMs: 0 };
    expect(choosePermit([permit], "b", 399)).toEqual(undefined);
    expect(choosePermit([permit], "b", 400)).toEqual(permit);
    expect(choosePermit([permit], "a", 1500)).toEqual(undefined);
  });
});
