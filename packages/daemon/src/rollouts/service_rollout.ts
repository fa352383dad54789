/**
 * What this VM knows of the rollout of one service, and how it applies that.
 *
 * @module
 */

import type {
  BackendServerId,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type {
  RolloutPermits,
  RolloutPhaseName,
  RolloutPhaseNews,
} from "@sassafrasstage/protocol/rollouts";
import type { RegisteredServer } from "../register/server_register.js";
import { CallCounters } from "./call_counters.js";
import { PermitHolder } from "./permit_holder.js";
import type {
  AdmissionOptions,
  ExposurePermit,
  ServerAdmission,
} from "./rollout_gate.js";
import { type FinalPhase, isFinal, type Rollout } from "./rollout_request.js";

/**
 * Longest time for which a shift is applied without a message of the owner. It
 * is longer than it takes the next owner to continue.
 */
const MAX_SHIFT_LEASE_MS = 3000;
/**
 * Part of the time in which a bad version has to be out of use: an owner that
 * rolls back may not reach this VM.
 */
const SHIFT_LEASE_SHARE = 0.6;
/** Permits that come in reply to an older report were held up on the way. */
const MAX_REPLY_AGE_MS = 1500;

/** The owner's revision of the reservation object, and its era. */
interface OwnerRevision {
  readonly era: number;
  readonly revision: number;
}

export class ServiceRollout {
  readonly counters: CallCounters;
  readonly permits = new PermitHolder();
  readonly learnedAtMs: number;
  /** The newest version of the object that is known. */
  rollout: Rollout;
  /** When this VM learned that the rollout was completed. */
  completedAtMs: number | undefined;
  /** The highest total of permits that an owner has reserved. */
  reserved = 0;
  /** When the owner last replied to a report. */
  repliedAtMs = -Infinity;
  readonly #exposed = new Set<BackendServerId>();
  #storedPhase: FinalPhase | undefined;
  /** As told by the owner; the store's final state takes precedence. */
  #announced: RolloutPhaseName = "observing";
  #shiftEndsAtMs = -Infinity;
  #owner: OwnerRevision = { era: 0, revision: 0 };

  readonly #shiftLeaseMs: number;

  /** @param rollbackMs Time in which a bad version has to be out of use */
  constructor(rollout: Rollout, rollbackMs: number, nowMs: number) {
    this.rollout = rollout;
    this.#shiftLeaseMs = Math.min(
      MAX_SHIFT_LEASE_MS,
      rollbackMs * SHIFT_LEASE_SHARE,
    );
    this.learnedAtMs = nowMs;
    this.counters = new CallCounters(rollout.request.to);
    this.applyStored(rollout, nowMs);
  }

  get candidate(): SoftwareVersion {
    return this.rollout.request.to;
  }

  /** Whether the store holds the final state, so that nothing is left to do. */
  get isSettled(): boolean {
    return isFinal(this.rollout.state);
  }

  /** A store that came back from an older copy doesn't undo a final state. */
  applyStored(rollout: Rollout, nowMs: number): void {
    this.rollout = rollout;
    if (!isFinal(rollout.state)) return;
    this.#storedPhase ??= rollout.state;
    this.#enter(this.#storedPhase, nowMs);
  }

  /** The owner of this VM has decided. */
  applyDecision(phase: RolloutPhaseName, nowMs: number): void {
    this.#enter(phase, nowMs);
  }

  /** The phase that this VM applies. */
  phase(nowMs: number): RolloutPhaseName {
    if (this.#storedPhase !== undefined) return this.#storedPhase;
    const isShifting = this.#announced === "shifting" &&
      nowMs < this.#shiftEndsAtMs;
    return this.#announced === "shifting" && !isShifting
      ? "observing"
      : this.#announced;
  }

  /** The furthest phase that this VM has learned of. */
  get furthestPhase(): RolloutPhaseName {
    return this.#storedPhase ?? this.#announced;
  }

  /** Returns false for news of an owner that has been replaced. */
  applyNews(news: RolloutPhaseNews, nowMs: number): boolean {
    // A roll-back is accepted from any owner, as it exposes nothing.
    if (news.phase !== "rolledBack" && !this.#acceptOwner(news)) return false;
    this.#enter(news.phase, nowMs);
    return true;
  }

  /**
   * @param sentAtMs When the report was sent to which this replies
   */
  applyPermits(
    permits: RolloutPermits,
    { sentAtMs, nowMs }: { readonly sentAtMs: number; readonly nowMs: number },
  ): boolean {
    if (permits.phase !== "rolledBack" && !this.#acceptOwner(permits)) {
      return false;
    }
    if (nowMs - sentAtMs > MAX_REPLY_AGE_MS) return false;
    this.repliedAtMs = nowMs;
    this.reserved = Math.max(this.reserved, permits.reserved);
    this.#enter(permits.phase, nowMs);
    if (permits.phase !== "observing") return true;
    this.#exposed.clear();
    for (const id of permits.servers) this.#exposed.add(id);
    this.permits.add(permits.term, permits.grants, nowMs);
    return true;
  }

  /**
   * @param formerVersions Versions that were in use before the rollout was
   *   completed
   */
  admits(
    server: RegisteredServer,
    options: AdmissionOptions & { readonly nowMs: number },
    formerVersions: () => ReadonlySet<SoftwareVersion>,
  ): ServerAdmission {
    const phase = this.phase(options.nowMs);
    if (server.softwareVersion === this.candidate) {
      switch (phase) {
        case "observing":
          return this.#exposed.has(server.id) ? "withPermit" : "never";
        case "shifting":
        case "completed":
          return "freely";
        case "rolledBack":
          return "never";
      }
    }
    switch (phase) {
      case "observing":
      case "rolledBack":
        return "freely";
      case "shifting":
        return options.isContinuation ? "freely" : "never";
      case "completed":
        return formerVersions().has(server.softwareVersion)
          ? "never"
          : "freely";
    }
  }

  takePermit(
    server: RegisteredServer,
    route: string,
    nowMs: number,
  ): ExposurePermit | undefined {
    if (server.softwareVersion !== this.candidate) return undefined;
    if (this.phase(nowMs) !== "observing" || !this.#exposed.has(server.id)) {
      return undefined;
    }
    return this.permits.take(route, nowMs);
  }

  #enter(phase: RolloutPhaseName, nowMs: number): void {
    if (phase === "shifting") {
      this.#shiftEndsAtMs = Math.max(
        this.#shiftEndsAtMs,
        nowMs + this.#shiftLeaseMs,
      );
    }
    // Only the store tells which of two final phases holds.
    const isFurther = !isFinal(this.#announced) &&
      rankOf(phase) > rankOf(this.#announced);
    if (isFurther || this.#storedPhase !== undefined) {
      this.#announced = this.#storedPhase ?? phase;
    }
    if (this.#announced !== "observing") this.permits.expireAll();
    if (this.#announced === "completed") this.completedAtMs ??= nowMs;
  }

  #acceptOwner(owner: OwnerRevision): boolean {
    const isOlder = owner.era === this.#owner.era
      ? owner.revision < this.#owner.revision
      : owner.era < this.#owner.era;
    if (isOlder) return false;
    this.#owner = { era: owner.era, revision: owner.revision };
    return true;
  }
}

function rankOf(phase: RolloutPhaseName): number {
  switch (phase) {
    case "observing":
      return 0;
    case "shifting":
      return 1;
    case "completed":
    case "rolledBack":
      return 2;
  }
}
