/**
 * Runs the rollout of one service: reserves exposure, grants permits, judges the
 * candidate, and moves the rollout from phase to phase.
 *
 * @module
 */

import type { Incarnation, VmId } from "@sassafrasstage/protocol/ids";
import type {
  RolloutPermits,
  RolloutPhaseName,
  RolloutPhaseNews,
  RolloutReport,
} from "@sassafrasstage/protocol/rollouts";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore, StatusStore } from "../platform/object_store.js";
import type { RegisteredServer } from "../register/server_register.js";
import { EvidenceWindow } from "./evidence_window.js";
import { ExposureBudget, type PermitGrant } from "./exposure_budget.js";
import { FleetCounts } from "./fleet_counts.js";
import { type CandidateVerdict, judgeCandidate } from "./judge_candidate.js";
import { PermitGranter } from "./permit_granter.js";
import { decidePhase } from "./decide_phase.js";
import type { PhaseDecision } from "./plan_rollout.js";
import { countRequests, makeRecordContent } from "./record_content.js";
import type { CallCounts } from "./rollout_observations.js";
import {
  type ExposureSettings,
  isFinal,
  type Rollout,
  type RolloutObjectFormat,
  type RolloutRecord,
  type RolloutState,
} from "./rollout_request.js";
import { RolloutLog } from "./rollout_log.js";
import {
  type RecordContent,
  RolloutReservation,
} from "./rollout_reservation.js";
import { StatusWriter } from "./status_writer.js";

export interface RolloutOwnerOptions {
  readonly self: VmId;
  readonly store:
    & Pick<ObjectStore, "read" | "update">
    & Pick<StatusStore, "updateStatus">;
  readonly objectFormat: RolloutObjectFormat;
  readonly exposure: ExposureSettings;
  /** The newest version of the rollout's object that is known. */
  readonly rollout: () => Rollout;
  /** The era of the store to which its revision belongs. */
  readonly era: () => number;
  /** VMs in contact, this one included. */
  readonly participants: (nowMs: number) => readonly VmId[];
  /** Servers of the service that can receive work. */
  readonly servers: () => readonly RegisteredServer[];
  /** Whether servers of other versions are known to have served. */
  readonly hasSeenCurrent: () => boolean;
  /** Called as soon as the phase holds, before the store has it. */
  readonly onPhase: (news: RolloutPhaseNews, known: readonly VmId[]) => void;
  /** A final state, or another change, is stored. */
  readonly onStored: (rollout: Rollout) => void;
  readonly sendPermits: (to: VmId, permits: RolloutPermits) => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Interval at which the candidate is judged anew. */
const JUDGE_INTERVAL_MS = 200;
/** An owner that ran later than this may have been replaced meanwhile. */
const MAX_TICK_GAP_MS = 1000;
/** Time that a new owner waits for the reports of all VMs in contact. */
const COLLECTION_MS = 1500;
/** Interval at which the phase is announced again while it stays. */
const ANNOUNCEMENT_INTERVAL_MS = 1000;
const RETRY_DELAY_MS = 300;
const NO_VERDICT: CandidateVerdict = {
  kind: "undecided",
  reason: "not judged yet",
  samples: 0,
  bad: 0,
};

export class RolloutOwner {
  readonly #options: RolloutOwnerOptions;
  readonly #counts = new FleetCounts();
  readonly #window = new EvidenceWindow();
  readonly #reservation: RolloutReservation;
  readonly #status: StatusWriter;
  readonly #granter: PermitGranter;
  readonly #log: RolloutLog;
  readonly #startedAtMs: number;
  /** Sequence of the report that each VM gets a reply to. */
  readonly #repliesDue = new Map<VmId, number>();
  #budget: ExposureBudget | undefined;
  #budgetTerm = "";
  #phase: RolloutPhaseName = "observing";
  #recordedPhase: RolloutPhaseName | undefined;
  #verdict = NO_VERDICT;
  #totals: readonly CallCounts[] = [];
  #judgedAtMs = -Infinity;
  #announcedAtMs = -Infinity;
  #tickedAtMs: number;
  #era: number;
  #isWritingRecord = false;
  #isWritingStatus = false;
  #recordRetryAtMs = -Infinity;
  #statusRetryAtMs = -Infinity;
  #isClosed = false;

  constructor(options: RolloutOwnerOptions) {
    this.#options = options;
    const { request } = options.rollout();
    this.#reservation = new RolloutReservation({ ...options, request });
    this.#status = new StatusWriter(options);
    this.#granter = new PermitGranter(request.to, options);
    this.#log = new RolloutLog(options.logger, request);
    const nowMs = options.clock.nowMs();
    this.#startedAtMs = nowMs;
    this.#tickedAtMs = nowMs;
    this.#era = options.era();
    this.#log.recordStart(options.rollout().state);
  }

  get phase(): RolloutPhaseName {
    return this.#phase;
  }

  /** This VM no longer owns the rollout, or it has ended. */
  close(): void {
    this.#isClosed = true;
  }

  handleReport(
    from: { readonly vmId: VmId; readonly incarnation: Incarnation },
    report: RolloutReport,
  ): void {
    if (report.request !== this.#options.rollout().request.id) return;
    const returned = this.#counts.record(from.vmId, from.incarnation, {
      report,
      term: this.#reservation.term,
      nowMs: this.#options.clock.nowMs(),
    });
    this.#budget?.recordReturned(returned);
    this.#repliesDue.set(from.vmId, report.sequence);
  }

  tick(): void {
    const nowMs = this.#options.clock.nowMs();
    const gapMs = nowMs - this.#tickedAtMs;
    this.#tickedAtMs = nowMs;
    const era = this.#options.era();
    if (gapMs > MAX_TICK_GAP_MS || era !== this.#era) {
      this.#era = era;
      // The phase is to be recorded again, as the store may have lost it.
      this.#recordedPhase = undefined;
      this.#reservation.release();
    }
    this.#adopt(this.#counts.furthestPhase);
    if (nowMs - this.#judgedAtMs >= JUDGE_INTERVAL_MS) {
      this.#judgedAtMs = nowMs;
      this.#judge(nowMs);
    }
    // VMs that don't know the rollout request yet send nothing to the candidate.
    if (nowMs - this.#announcedAtMs >= ANNOUNCEMENT_INTERVAL_MS) {
      this.#announce();
    }
    this.#writeStatusIfDue(nowMs);
    this.#writeRecordIfDue(nowMs);
    this.#reply(nowMs);
  }

  #adopt(phase: RolloutPhaseName): void {
    const { state } = this.#options.rollout();
    if (isFinal(state)) {
      this.#enter(state, "stored");
    } else if (isFinal(phase) || phase === "shifting") {
      this.#enter(phase, "reported");
    }
  }

  #judge(nowMs: number): void {
    if (isFinal(this.#phase)) return;
    this.#counts.dropStale(nowMs);
    this.#totals = this.#counts.totals();
    const verdict = judgeCandidate(
      this.#totals,
      this.#window.split(this.#totals, nowMs),
    );
    this.#log.recordVerdict(verdict, {
      elapsedMs: nowMs - this.#counts.orderedAtMs,
      totals: this.#totals,
    });
    this.#verdict = verdict;
    if (verdict.kind === "faulty") {
      this.#enter("rolledBack", verdict.reason);
      return;
    }
    const participants = this.#options.participants(nowMs);
    const isCollected = nowMs - this.#startedAtMs >= COLLECTION_MS ||
      this.#counts.hasReported(participants, nowMs);
    if (!isCollected || this.#counts.orderedAtMs === Infinity) return;
    const decision = this.#decide(participants, nowMs);
    this.#log.recordDecision(decision);
    this.#apply(decision, nowMs);
  }

  #decide(participants: readonly VmId[], nowMs: number): PhaseDecision {
    return decidePhase({
      phase: this.#phase,
      request: this.#options.rollout().request,
      verdict: this.#verdict,
      counts: this.#counts,
      totals: this.#totals,
      participants,
      servers: this.#options.servers(),
      hasSeenCurrent: this.#options.hasSeenCurrent(),
      nowMs,
    });
  }

  #apply({ phase, reason }: PhaseDecision, nowMs: number): void {
    if (phase === this.#phase) return;
    switch (phase) {
      case "observing":
        return;
      case "shifting":
        // Another owner continues from what is recorded.
        void this.#writeRecord("shifting", nowMs).then((isStored) => {
          if (isStored) this.#enter("shifting", reason);
        });
        return;
      case "rolledBack":
      case "completed":
        // Unlike a faulty verdict, this isn't urgent, and another owner may know
        // better: the store decides.
        void this.#writeStatus(phase, nowMs);
    }
  }

  /** Final phases aren't left, except for what the store holds. */
  #enter(phase: RolloutPhaseName, reason: string): void {
    if (this.#isClosed || phase === this.#phase) return;
    const isStored = this.#options.rollout().state === phase;
    if (isFinal(this.#phase) && !isStored) return;
    if (phase === "observing") return;
    this.#phase = phase;
    this.#log.recordPhase(phase, reason, {
      verdict: this.#verdict,
      reserved: this.#budget?.reserved,
    });
    this.#announce();
  }

  #announce(): void {
    const { request } = this.#options.rollout();
    this.#announcedAtMs = this.#options.clock.nowMs();
    this.#options.onPhase({
      request: request.id,
      candidate: request.to,
      phase: this.#phase,
      revision: this.#reservation.revision,
      era: this.#era,
    }, this.#counts.vmIds);
  }

  #writeStatusIfDue(nowMs: number): void {
    const { state } = this.#options.rollout();
    if (isFinal(this.#phase)) {
      if (state !== this.#phase) void this.#writeStatus(this.#phase, nowMs);
    } else if (state === undefined) void this.#writeStatus("serving", nowMs);
  }

  async #writeStatus(
    state: RolloutState,
    nowMs: number,
  ): Promise<void> {
    if (this.#isWritingStatus || nowMs < this.#statusRetryAtMs) return;
    this.#isWritingStatus = true;
    const rollout = this.#options.rollout();
    const result = await this.#status.write(rollout, state);
    this.#isWritingStatus = false;
    if (result.kind !== "stored") {
      this.#statusRetryAtMs = this.#options.clock.nowMs() + RETRY_DELAY_MS;
      return;
    }
    if (this.#isClosed) return;
    this.#options.onStored(result.rollout);
    this.#adopt("observing");
  }

  #writeRecordIfDue(nowMs: number): void {
    if (this.#isWritingRecord || nowMs < this.#recordRetryAtMs) return;
    if (!this.#reservation.isClaimed) {
      if (!isFinal(this.#phase)) void this.#claim(nowMs);
      return;
    }
    if (this.#recordedPhase !== this.#phase) {
      void this.#writeRecord(this.#phase, nowMs);
      return;
    }
    if (this.#phase !== "observing") return;
    this.#budget?.recordServiceRequests(countRequests(this.#totals));
    const due = this.#budget?.reservationDue(this.#options.exposure, nowMs);
    if (due !== undefined) void this.#writeRecord("observing", nowMs, due);
  }

  async #claim(nowMs: number): Promise<void> {
    this.#isWritingRecord = true;
    const claimed = await this.#reservation.claim((former) =>
      this.#toContent(this.#phaseAfter(former), nowMs, former)
    );
    this.#isWritingRecord = false;
    if (this.#isClosed) return;
    if (claimed === undefined) {
      this.#recordRetryAtMs = this.#options.clock.nowMs() + RETRY_DELAY_MS;
      return;
    }
    const { former, reserved, reservedBefore } = claimed;
    if (this.#budgetTerm === this.#reservation.term) {
      this.#budget?.confirmReserved(reserved);
    } else {
      this.#budgetTerm = this.#reservation.term;
      this.#counts.startTerm();
      if (former !== undefined) {
        this.#counts.restart(former.counts, {
          elapsedMs: former.elapsedMs,
          nowMs: this.#options.clock.nowMs(),
        });
      }
      // The store may have lost what was reserved, by this VM too.
      this.#budget = new ExposureBudget({
        reserved: Math.max(
          reserved,
          reservedBefore,
          this.#counts.reserved,
          this.#budget?.reserved ?? 0,
        ),
        serviceRequests: former?.requests ?? 0,
      });
    }
    this.#recordedPhase = this.#phaseAfter(former);
    this.#enter(this.#recordedPhase, "recorded");
  }

  /** The further of the former owner's phase and this one's. */
  #phaseAfter(former: RolloutRecord | undefined): RolloutPhaseName {
    if (former === undefined || this.#phase !== "observing") {
      return this.#phase;
    }
    // The status tells whether it was completed.
    return former.phase === "completed" ? "shifting" : former.phase;
  }

  async #writeRecord(
    phase: RolloutPhaseName,
    nowMs: number,
    due?: { readonly reserved: number; readonly serviceRequests: number },
  ): Promise<boolean> {
    if (this.#isWritingRecord || !this.#reservation.isClaimed) return false;
    this.#isWritingRecord = true;
    const isStored = await this.#reservation.write({
      ...this.#toContent(phase, nowMs, undefined),
      reserved: due?.reserved ?? this.#budget?.reserved ?? 0,
    });
    this.#isWritingRecord = false;
    if (!isStored) {
      this.#recordRetryAtMs = this.#options.clock.nowMs() + RETRY_DELAY_MS;
      return false;
    }
    this.#recordedPhase = phase;
    if (due !== undefined) this.#budget?.confirmReserved(due.reserved);
    return !this.#isClosed;
  }

  #toContent(
    phase: RolloutPhaseName,
    nowMs: number,
    former: RolloutRecord | undefined,
  ): RecordContent {
    return makeRecordContent({
      phase,
      owner: this.#options.self,
      former,
      counts: this.#counts,
      totals: this.#totals,
      budget: this.#budget,
      nowMs,
    });
  }

  #reply(nowMs: number): void {
    if (this.#repliesDue.size === 0) return;
    const grants = this.#planGrants(nowMs);
    const { request } = this.#options.rollout();
    const servers = this.#granter.exposedServers;
    for (const [vmId, sequence] of this.#repliesDue) {
      this.#options.sendPermits(vmId, {
        request: request.id,
        candidate: request.to,
        sequence,
        term: this.#reservation.term,
        revision: this.#reservation.revision,
        era: this.#era,
        reserved: this.#budget?.reserved ?? 0,
        phase: this.#phase,
        grants: grants.filter(({ vm }) => vm === vmId)
          .map(({ route, count }) => ({ route, count })),
        servers,
      });
    }
    this.#repliesDue.clear();
  }

  /** Permits are granted only in reply to a report. */
  #planGrants(nowMs: number): readonly PermitGrant[] {
    const mayGrant = this.#phase === "observing" &&
      this.#reservation.isClaimed && this.#verdict.kind !== "faulty";
    if (!mayGrant || this.#budget === undefined) return [];
    return this.#granter.grant({
      budget: this.#budget,
      counts: this.#counts,
      totals: this.#totals,
      servers: this.#options.servers(),
      durationMs: this.#options.rollout().request.durationMs,
      receivers: this.#repliesDue,
      nowMs,
    });
  }
}
