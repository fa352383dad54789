/**
 * What the rollout owner has collected from the VMs.
 *
 * @module
 */

import type { Incarnation, VmId } from "@sassafrasstage/protocol/ids";
import type {
  RolloutPhaseName,
  RolloutReport,
} from "@sassafrasstage/protocol/rollouts";
import type { PermitDemand, PermitGrant } from "./exposure_budget.js";
import { PERMIT_TTL_MS } from "./held_permits.js";
import { isFinal } from "./rollout_request.js";
import {
  addCounts,
  type CallCounts,
  countsKey,
  subtractCounts,
} from "./rollout_observations.js";

interface RoutePermits {
  granted: number;
  used: number;
  expired: number;
}

interface ReportingVm {
  readonly incarnation: Incarnation;
  report: RolloutReport;
  receivedAtMs: number;
  /** Of the owner's present term. */
  readonly permits: Map<string, RoutePermits>;
}

/** A report of which the sender hasn't confirmed anything for longer is old. */
const MAX_REPORT_AGE_MS = 1500;
/** Shortest time over which the rate of a VM's requests is estimated. */
const MIN_RATE_PERIOD_MS = 1000;

export class FleetCounts {
  readonly #vms = new Map<VmId, ReportingVm>();
  readonly #sums = new Map<string, MutableSum>();
  /** Sums of the first reports of all VMs and their incarnations. */
  readonly #first = new Map<string, MutableSum>();
  /** Stored by former owners; this owner may not know of all the VMs then. */
  #stored: readonly CallCounts[] = [];
  #orderedAtMs = Infinity;
  #phase: RolloutPhaseName = "observing";
  #hasSeenCurrent = false;
  #reserved = 0;

  /** When the rollout request was made, as far as is known. */
  get orderedAtMs(): number {
    return this.#orderedAtMs;
  }

  /** The furthest phase that a VM has learned of. */
  get furthestPhase(): RolloutPhaseName {
    return this.#phase;
  }

  get hasSeenCurrent(): boolean {
    return this.#hasSeenCurrent;
  }

  /** The highest total of reserved permits that a VM was told. */
  get reserved(): number {
    return this.#reserved;
  }

  get vmIds(): VmId[] {
    return [...this.#vms.keys()];
  }

  /**
   * Starts anew from what another owner stored. It counts VMs that are gone as
   * well as those that still run, whose first report is subtracted from it:
   * what they had counted by then is counted at most once.
   */
  restart(
    counts: readonly CallCounts[],
    age: { readonly elapsedMs: number; readonly nowMs: number },
  ): void {
    this.#stored = counts;
    this.#vms.clear();
    this.#sums.clear();
    this.#first.clear();
    this.#recordAge(age.elapsedMs, age.nowMs);
  }

  /** Returns the number of permits of the term that expired unused since. */
  record(
    vmId: VmId,
    incarnation: Incarnation,
    received: {
      readonly report: RolloutReport;
      readonly term: string;
      readonly nowMs: number;
    },
  ): number {
    const { report, term, nowMs } = received;
    const known = this.#vms.get(vmId);
    const isSameProcess = known?.incarnation === incarnation;
    if (isSameProcess && report.sequence <= known.report.sequence) return 0;
    if (isSameProcess) this.#sum(known.report.counts, -1);
    // What a process counted that ended stays, except for its open calls.
    else if (known !== undefined) this.#sumWaiting(known.report.counts, -1);
    this.#sum(report.counts, 1);
    if (!isSameProcess) addTo(this.#first, report.counts, 1);
    const vm: ReportingVm = isSameProcess
      ? known
      : { incarnation, report, receivedAtMs: nowMs, permits: new Map() };
    vm.report = report;
    vm.receivedAtMs = nowMs;
    this.#vms.set(vmId, vm);
    this.#recordAge(report.ageMs, nowMs);
    this.#hasSeenCurrent ||= report.hasSeenCurrent;
    this.#reserved = Math.max(this.#reserved, report.reserved);
    this.#recordPhase(report.phase);
    return report.term === term ? recordUse(vm, report) : 0;
  }

  /** Forgets the calls in progress of VMs that don't report any more. */
  dropStale(nowMs: number): void {
    for (const vm of this.#vms.values()) {
      if (isRecent(vm, nowMs)) continue;
      const { counts } = vm.report;
      if (!counts.some(hasWaiting)) continue;
      this.#sumWaiting(counts, -1);
      vm.report = { ...vm.report, counts: counts.map(withoutWaiting) };
    }
  }

  /** Permits granted before are no longer returned. */
  startTerm(): void {
    for (const { permits } of this.#vms.values()) permits.clear();
  }

  recordGrants(grants: readonly PermitGrant[]): void {
    for (const { vm, route, count } of grants) {
      const permits = this.#vms.get(vm)?.permits;
      if (permits === undefined) continue;
      const known = permits.get(route) ?? { granted: 0, used: 0, expired: 0 };
      known.granted += count;
      permits.set(route, known);
    }
  }

  /** Sums over all VMs, also those that only former owners knew. */
  totals(): CallCounts[] {
    const sums = toCounts(this.#sums);
    if (this.#stored.length === 0) return sums;
    const ofGone = subtractCounts(this.#stored, toCounts(this.#first));
    return addCounts(sums, ofGone);
  }

  /** Calls in progress at the current version, of these VMs. */
  inFlightAtCurrent(vmIds: readonly VmId[]): number {
    return vmIds.reduce(
      (sum, vmId) => sum + (this.#vms.get(vmId)?.report.inFlightAtCurrent ?? 0),
      0,
    );
  }

  /** How many of these VMs haven't confirmed lately that they apply the shift. */
  countUnconfirmed(vmIds: readonly VmId[], nowMs: number): number {
    return vmIds.filter((vmId) => {
      const vm = this.#vms.get(vmId);
      if (vm === undefined || !isRecent(vm, nowMs)) return true;
      const { phase } = vm.report;
      return phase !== "shifting" && !isFinal(phase);
    }).length;
  }

  hasReported(vmIds: readonly VmId[], nowMs: number): boolean {
    return vmIds.every((vmId) => {
      const vm = this.#vms.get(vmId);
      return vm !== undefined && isRecent(vm, nowMs);
    });
  }

  /** What VMs that reported lately are expected to send, by route. */
  demands(nowMs: number): PermitDemand[] {
    return [...this.#vms].flatMap(([vm, reporting]) => {
      if (!isRecent(reporting, nowMs)) return [];
      const { report, permits } = reporting;
      const periodMs = Math.max(MIN_RATE_PERIOD_MS, report.ageMs);
      const sentByRoute = new Map<string, number>();
      for (const { route, sent } of report.counts) {
        sentByRoute.set(route, (sentByRoute.get(route) ?? 0) + sent);
      }
      return [...sentByRoute].map(([route, sent]) => {
        const { granted = 0, used = 0, expired = 0 } = permits.get(route) ?? {};
        return {
          vm,
          route,
          expected: sent / periodMs * PERMIT_TTL_MS,
          held: Math.max(0, granted - used - expired),
        };
      });
    });
  }

  #recordAge(ageMs: number, nowMs: number): void {
    this.#orderedAtMs = Math.min(this.#orderedAtMs, nowMs - ageMs);
  }

  /** A completed rollout was stored as such; a roll-back may not have been. */
  #recordPhase(phase: RolloutPhaseName): void {
    if (PHASE_ORDER.indexOf(phase) > PHASE_ORDER.indexOf(this.#phase)) {
      this.#phase = phase;
    }
  }

  #sum(counts: readonly CallCounts[], sign: 1 | -1): void {
    addTo(this.#sums, counts, sign);
  }

  #sumWaiting(counts: readonly CallCounts[], sign: 1 | -1): void {
    for (const entry of counts) {
      this.#sums.get(countsKey(entry))?.addWaiting(entry, sign);
    }
  }
}

const PHASE_ORDER: readonly RolloutPhaseName[] = [
  "observing",
  "shifting",
  "rolledBack",
  "completed",
];

/** Counters of one route, side, server and data centre over all VMs. */
class MutableSum {
  readonly #identity: Pick<
    CallCounts,
    "route" | "side" | "server" | "dataCentre"
  >;
  #sent = 0;
  #answered = 0;
  #failed = 0;
  readonly #durations: number[] = [];
  readonly #pauses: number[] = [];
  readonly #waiting: number[] = [];

  constructor({ route, side, server, dataCentre }: CallCounts) {
    this.#identity = {
      route,
      side,
      server,
      ...(dataCentre !== undefined && { dataCentre }),
    };
  }

  add(counts: CallCounts, sign: 1 | -1): void {
    this.#sent += sign * counts.sent;
    this.#answered += sign * counts.answered;
    this.#failed += sign * counts.failed;
    addHistogram(this.#durations, counts.durations, sign);
    addHistogram(this.#pauses, counts.pauses, sign);
    this.addWaiting(counts, sign);
  }

  addWaiting(counts: CallCounts, sign: 1 | -1): void {
    addHistogram(this.#waiting, counts.waiting, sign);
  }

  toCounts(): CallCounts {
    return {
      ...this.#identity,
      sent: this.#sent,
      answered: this.#answered,
      failed: this.#failed,
      durations: [...this.#durations],
      pauses: [...this.#pauses],
      waiting: [...this.#waiting],
    };
  }
}

/** Counters without the calls in progress, which may have ended since. */
export function withoutWaiting(counts: CallCounts): CallCounts {
  return { ...counts, waiting: [] };
}

function hasWaiting({ waiting = [] }: CallCounts): boolean {
  return waiting.length > 0;
}

function addTo(
  sums: Map<string, MutableSum>,
  counts: readonly CallCounts[],
  sign: 1 | -1,
): void {
  for (const entry of counts) {
    const key = countsKey(entry);
    const sum = sums.get(key) ?? new MutableSum(entry);
    sums.set(key, sum);
    sum.add(entry, sign);
  }
}

function toCounts(sums: ReadonlyMap<string, MutableSum>): CallCounts[] {
  return [...sums.values()].map((sum) => sum.toCounts());
}

function addHistogram(
  sum: number[],
  histogram: readonly number[] | undefined,
  sign: 1 | -1,
): void {
  for (const [bucket, count] of (histogram ?? []).entries()) {
    sum[bucket] = (sum[bucket] ?? 0) + sign * count;
  }
}

function isRecent({ receivedAtMs }: ReportingVm, nowMs: number): boolean {
  return nowMs - receivedAtMs <= MAX_REPORT_AGE_MS;
}

function recordUse({ permits }: ReportingVm, report: RolloutReport): number {
  let returned = 0;
  for (const { route, used, expired } of report.permitUse) {
    const known = permits.get(route);
    if (known === undefined) continue;
    // No more than were granted, whatever the report says.
    const credited = Math.min(expired, known.granted - used);
    returned += Math.max(0, credited - known.expired);
    known.used = used;
    known.expired = Math.max(known.expired, credited);
  }
  return returned;
}
