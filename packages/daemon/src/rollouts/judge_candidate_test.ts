import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { EvidenceWindow } from "./evidence_window.js";
import { judgeCandidate } from "./judge_candidate.js";
import { nextPhase, type RolloutPhase } from "./plan_rollout.js";
import {
  bucketOf,
  type CallCounts,
  emptyHistogram,
  type VersionSide,
} from "./rollout_observations.js";
import {
  Random,
  type SimulatedFault,
  type SimulatedService,
  SimulatedVersions,
} from "./testing/simulated_versions.js";

const DURATION_MS = 12_000;
const LOOK_EVERY_MS = 500;

function drawService(
  random: Random,
  faults: readonly SimulatedFault[],
): SimulatedService {
  const shares = [0.2, 0.2, 0.2].map((share) => share + random.between(0, 0.3));
  const total = shares.reduce((sum, share) => sum + share, 0);
  return {
    routes: shares.map((share) => ({
      share: share / total,
      medianMs: random.between(30, 500),
    })),
    sigma: random.between(0.1, 0.35),
    failureRate: random.between(0, 0.004),
    currentPerSecond: random.between(60, 90),
    candidatePerSecond: random.between(20, 36),
    candidateSpeeds: Array.from(
      { length: 2 + random.below(5) },
      () => random.between(0.8, 1.3),
    ),
    candidateFromMs: random.between(500, 2000),
    faults,
  };
}

interface Outcome {
  /** First phase after `observing`. */
  readonly phase: RolloutPhase;
  readonly isFaulty: boolean;
}

function playRollout(service: SimulatedService, random: Random): Outcome {
  const versions = new SimulatedVersions(service, DURATION_MS, random);
  const window = new EvidenceWindow();
  for (let nowMs = LOOK_EVERY_MS;; nowMs += LOOK_EVERY_MS) {
    const counts = versions.countsAt(nowMs);
    const verdict = judgeCandidate(counts, window.split(counts, nowMs));
    const { phase } = nextPhase({
      phase: "observing",
      nowMs,
      orderedAtMs: 0,
      durationMs: DURATION_MS,
      verdict,
      inFlightAtCurrent: 1,
      unconfirmedVms: 0,
      candidateServers: 5,
      currentServers: 30,
      hasSeenCurrentVersion: true,
    });
    if (phase !== "observing") {
      return { phase, isFaulty: verdict.kind === "faulty" };
    }
  }
}

interface Tally {
  readonly versions: number;
  shifted: number;
  faulty: number;
}

/** Plays rollouts of versions drawn from consecutive seeds. */
function playVersions(
  versions: number,
  drawFaults: (random: Random) => readonly SimulatedFault[],
): Tally {
  const tally = { versions, shifted: 0, faulty: 0 };
  for (let seed = 1; seed <= versions; seed++) {
    const random = new Random(seed);
    const service = drawService(random, drawFaults(random));
    const { phase, isFaulty } = playRollout(service, random);
    if (phase === "shifting") tally.shifted += 1;
    if (isFaulty) tally.faulty += 1;
  }
  return tally;
}

function drawFault(random: Random): SimulatedFault {
  return {
    kind: random.chance(0.5) ? "failure" : "slow",
    share: random.between(0.2, 1),
    factor: random.between(3, 8),
    fromMs: 0,
    untilMs: Infinity,
    applies: ({ side }) => side === "candidate",
  };
}

function drawDisturbance(random: Random): SimulatedFault {
  return {
    ...drawFault(random),
    fromMs: 2000,
    untilMs: random.between(3000, 8000),
  };
}

describe("judgeCandidate over drawn versions", () => {
  // A sound version that is rolled back isn't in service by its deadline.
  it("shifts to all but 1 in 100 sound versions, and calls none faulty", () => {
    const { shifted, faulty, versions } = playVersions(300, () => []);
    expect({ faulty, isMet: shifted >= versions * 0.99 })
      .toEqual({ faulty: 0, isMet: true });
  });

  // A faulty version that is shifted to exceeds the exposure rule.
  it("shifts to under 1 in 100 versions with a fault on all routes", () => {
    const tally = playVersions(200, (random) => [drawFault(random)]);
    expect(tally.shifted).toEqual(0);
    expect(tally.faulty >= tally.versions * 0.9).toEqual(true);
  });

  it("shifts to under 1 in 100 versions with a fault on one route", () => {
    const { shifted, faulty, versions } = playVersions(200, (random) => [{
      ...drawFault(random),
      applies: ({ side, route }) => side === "candidate" && route === "route-1",
    }]);
    expect(shifted <= versions / 100).toEqual(true);
    expect(faulty >= versions * 0.6).toEqual(true);
  });

  it("shifts to under 1 in 100 versions with a fault that starts later", () => {
    const { shifted, versions } = playVersions(200, (random) => [{
      ...drawFault(random),
      fromMs: random.between(1000, 4000),
    }]);
    expect(shifted <= versions / 100).toEqual(true);
  });

  // Rolling back for a bad server would make every rollout of a large service
  // fail as soon as one VM is bad.
  it("doesn't call a version faulty for one bad server", () => {
    const tally = playVersions(100, (random) => [{
      ...drawFault(random),
      applies: ({ server }) => server === "candidate-0",
    }]);
    expect(tally.faulty <= tally.versions / 100).toEqual(true);
    expect(tally.shifted >= tally.versions / 2).toEqual(true);
  });

  // A partition or a slow data centre isn't the version's fault.
  it("doesn't call a version faulty for what hits both versions", () => {
    const onAll = playVersions(100, (random) => [{
      ...drawDisturbance(random),
      applies: () => true,
    }]);
    expect(onAll.faulty <= onAll.versions / 100).toEqual(true);
  });

  it("doesn't call a version faulty for what hits one data centre", () => {
    const inOneDataCentre = playVersions(100, (random) => [{
      ...drawDisturbance(random),
      applies: ({ dataCentre }) => dataCentre === "east",
    }]);
    expect(inOneDataCentre.faulty <= inOneDataCentre.versions / 100)
      .toEqual(true);
  });
});

interface SampleOptions {
  readonly side?: VersionSide;
  readonly server?: string;
  readonly good?: number;
  readonly failed?: number;
  readonly slow?: number;
  readonly cold?: number;
}

function makeCounts(options: SampleOptions): CallCounts {
  const { side = "candidate", good = 0, failed = 0, slow = 0, cold = 0 } =
    options;
  const durations = emptyHistogram();
  durations[bucketOf(100)] = good;
  durations[bucketOf(900)] = slow;
  return {
    route: "chat",
    side,
    server: side === "candidate"
      ? toId<BackendServerId>(options.server ?? "a")
      : undefined,
    sent: good + failed + slow + cold,
    answered: good + slow + cold,
    failed,
    durations,
  };
}

describe("judgeCandidate", () => {
  const current = makeCounts({ side: "current", good: 300 });

  // Otherwise every rollout would fail, as new servers start cold.
  it("doesn't take slow responses of cold servers into account", () => {
    const cold = makeCounts({ good: 40, cold: 100 });
    expect(judgeCandidate([current, cold]).kind).toEqual("sound");
  });

  it("takes failures of cold servers into account", () => {
    const cold = makeCounts({ cold: 20, failed: 8 });
    expect(judgeCandidate([current, cold]).kind).toEqual("faulty");
  });

  // Below the fifth that the statistics look for, the rule of the 50th bad
  // response still holds.
  it("calls 40 unexplained bad responses faulty whatever their share", () => {
    const rare = makeCounts({ good: 1800, failed: 25, server: "b" });
    const more = makeCounts({ good: 1800, slow: 60 });
    const { kind, reason } = judgeCandidate([
      makeCounts({ side: "current", good: 9000 }),
      rare,
      more,
    ]);
    expect({ kind, reason }).toEqual({
      kind: "faulty",
      reason: "too many bad responses",
    });
  });

  it("doesn't conclude anything from a route that wasn't sampled", () => {
    const other = { ...current, route: "rare" };
    const verdict = judgeCandidate([
      current,
      other,
      makeCounts({ good: 200 }),
    ]);
    expect(verdict.kind).toEqual("undecided");
  });
});
