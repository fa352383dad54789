/**
 * Owner of a rollout in virtual time: drives the decisions as a VM does, with a
 * store that takes conditional writes.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import {
  chooseExposedServers,
  type ExposedServersInput,
} from "../candidate_servers.js";
import { EvidenceTotals } from "../evidence_totals.js";
import { EvidenceWindow } from "../evidence_window.js";
import {
  ExposureBudget,
  type ExposureLimits,
  type PermitDemand,
  type PermitGrant,
  planPermits,
} from "../exposure_budget.js";
import { judgeCandidate } from "../judge_candidate.js";
import { nextPhase, type RolloutPhase } from "../plan_rollout.js";
import type { CallCounts } from "../rollout_observations.js";

export const LIMITS: ExposureLimits = { share: 0.1, slack: 50 };
export const DURATION_MS = 12_000;
export const ROUTES = ["a", "b", "c"];
export const CANDIDATE_SERVERS = Array.from({ length: 12 }, (_, index) => ({
  id: toId<BackendServerId>(`new-${index}`),
  dataCentre: toId<DataCentreName>(`dc-${index % 3}`),
}));

/** The reservation object and the status, with one revision for both. */
export interface SimulatedStore {
  isUp: boolean;
  /** Writes are applied, but their responses are lost. */
  losesResponses: boolean;
  revision: number;
  reserved: number;
  serviceRequests: number;
  phase: RolloutPhase;
  writer: SimulatedOwner | undefined;
  evidence: readonly CallCounts[];
}

export interface VmReport {
  readonly vm: VmId;
  readonly incarnation: number;
  readonly counts: readonly CallCounts[];
  readonly requests: number;
  readonly inFlightAtCurrent: number;
  readonly phase: RolloutPhase;
  readonly demands: readonly PermitDemand[];
  /** Permits of this owner that expired unused since the last report. */
  readonly returned: number;
}

export interface OwnerReply {
  readonly phase: RolloutPhase;
  readonly grants: readonly PermitGrant[];
  readonly exposed: readonly BackendServerId[];
}

export class SimulatedOwner {
  readonly #store: SimulatedStore;
  readonly #totals: EvidenceTotals;
  readonly #requests = new Map<string, number>();
  readonly #evidence = new EvidenceWindow();
  readonly #requestsAtStart: number;
  readonly #budget: ExposureBudget;
  #revision: number;
  #phase: RolloutPhase;
  #exposed: readonly BackendServerId[] = [];
  #turn = 0;
  /** Why it changed the phase last. */
  reason = "";

  constructor(store: SimulatedStore) {
    this.#store = store;
    this.#revision = store.revision;
    this.#phase = store.phase;
    this.#budget = new ExposureBudget(store);
    this.#totals = new EvidenceTotals(store.evidence);
    this.#requestsAtStart = store.serviceRequests;
  }

  /** Handles the reports of one interval. */
  decide(reports: readonly VmReport[], nowMs: number): OwnerReply {
    if (this.#store.isUp && this.#store.revision !== this.#revision) {
      this.#read();
    }
    const counts = this.#collect(reports);
    const sent = sum([...this.#requests.values()]);
    this.#budget.recordServiceRequests(Math.max(this.#requestsAtStart, sent));
    this.#budget.recordReturned(sum(reports.map(({ returned }) => returned)));
    const verdict = judgeCandidate(counts, this.#evidence.split(counts, nowMs));
    const { phase, reason } = nextPhase({
      phase: this.#phase,
      nowMs,
      orderedAtMs: 0,
      durationMs: DURATION_MS,
      verdict,
      inFlightAtCurrent: sum(reports.map((item) => item.inFlightAtCurrent)),
      unconfirmedVms: reports.filter((report) =>
        report.phase !== "shifting"
      ).length,
      candidateServers: CANDIDATE_SERVERS.length,
      currentServers: 30,
      hasSeenCurrentVersion: true,
    });
    // Only a faulty verdict takes effect before its write is answered.
    if (phase !== this.#phase) this.reason = `${phase}: ${reason}`;
    if (verdict.kind === "faulty") this.#phase = phase;
    if (phase !== this.#store.phase && this.#write({ phase })) {
      this.#phase = phase;
    }
    const isObserving = this.#phase === "observing";
    this.#exposed = chooseExposedServers({
      servers: findCandidateServers(counts),
      previous: this.#exposed,
      permittedPerSecond: 15,
      currentPerServerPerSecond: 2.8,
      badServer: verdict.badServer,
    });
    return {
      phase: this.#phase,
      grants: isObserving ? this.#grant(reports, counts, nowMs) : [],
      exposed: this.#exposed,
    };
  }

  /** Adds up the reports; those of vanished VMs stay. */
  #collect(reports: readonly VmReport[]): CallCounts[] {
    const keys = new Set(reports.map(keyOf));
    for (const key of this.#requests.keys()) {
      if (!keys.has(key)) this.#totals.retire(key);
    }
    for (const report of reports) {
      this.#totals.record(keyOf(report), report.counts);
      this.#requests.set(keyOf(report), report.requests);
    }
    return this.#totals.sum();
  }

  #grant(
    reports: readonly VmReport[],
    counts: readonly CallCounts[],
    nowMs: number,
  ): PermitGrant[] {
    const due = this.#budget.reservationDue(LIMITS, nowMs);
    if (due !== undefined && this.#write({ ...due, evidence: counts })) {
      this.#budget.confirmReserved(due.reserved);
    }
    const samples = new Map<string, number>();
    for (const { side, route, sent } of counts) {
      if (side === "candidate") {
        samples.set(route, (samples.get(route) ?? 0) + sent);
      }
    }
    const grants = planPermits({
      allowance: this.#budget.available(),
      demands: reports.flatMap(({ demands }) => demands),
      samples,
      turn: this.#turn++,
    });
    this.#budget.recordGranted(sum(grants.map(({ count }) => count)));
    return grants;
  }

  /** Writes on the condition that the revision is the known one. */
  #write(change: Partial<SimulatedStore>): boolean {
    const store = this.#store;
    if (!store.isUp) return false;
    if (store.revision !== this.#revision) {
      this.#read();
      return false;
    }
    if (isFinal(store.phase)) return false;
    Object.assign(store, change, { writer: this });
    store.revision += 1;
    if (store.losesResponses) return false;
    this.#revision = store.revision;
    return true;
  }

  /** A write of this owner whose response was lost was accepted. */
  #read(): void {
    const store = this.#store;
    if (store.writer === this) this.#budget.confirmReserved(store.reserved);
    else this.#budget.adopt(store);
    this.#revision = store.revision;
    if (this.#phase !== "rolledBack") this.#phase = store.phase;
  }
}

function keyOf({ vm, incarnation }: VmReport): string {
  return `${vm} ${incarnation}`;
}

function isFinal(phase: RolloutPhase): boolean {
  return phase === "completed" || phase === "rolledBack";
}

function findCandidateServers(
  counts: readonly CallCounts[],
): ExposedServersInput["servers"] {
  return CANDIDATE_SERVERS.map((server) => ({
    ...server,
    isCold: false,
    samples: sum(
      counts.filter((item) => item.server === server.id)
        .map(({ answered, failed }) => answered + failed),
    ),
  }));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
