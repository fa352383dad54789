/**
 * The life of one backend server as its pool's owner sees it, and the limit
 * that each state allows. All functions here are pure.
 *
 * @module
 */

import type { CallOutcome } from "@sassafrasstage/protocol/permits";
import type { Service } from "@sassafrasstage/protocol/register";
import type { LatencyGrade } from "./latency_baseline.js";

const BREAKER_FAILURES = 3;
/** A timeout may be the fault of the request's own short deadline. */
const TIMEOUT_WEIGHT = 0.3;
const FIRST_BACK_OFF_MS = 500;
const MAX_BACK_OFF_MS = 10_000;
/** A suspected server has to show this many usual calls. */
const SUSPECT_COMPLETIONS = 5;
const DECREASE_FACTOR = 0.9;
/** Completions at least between two changes of the adaptive limit. */
const MIN_WINDOW = 8;
/** The adaptive limit stays above this part of the register's. */
const MIN_LIMIT_PART = 0.5;
/** The limit falls when this part of a window's latencies was high. */
const HIGH_PART = 0.75;
const INCREASE_STEP = 2;

/** `sinceMs` is when the state began: older calls prove nothing about it. */
export type ServerState =
  | { readonly kind: "unknown"; readonly sinceMs: number }
  | {
    readonly kind: "cold";
    readonly sinceMs: number;
    readonly completions: number;
    /**
     * Usual completions that would clear a server which is only suspected;
     * undefined if the cold start is sure.
     */
    readonly usualLeft: number | undefined;
  }
  | {
    readonly kind: "warming";
    readonly sinceMs: number;
    readonly limit: number;
    readonly lastUsedAtMs: number;
  }
  | {
    readonly kind: "warm";
    readonly sinceMs: number;
    readonly limit: number;
    readonly lastUsedAtMs: number;
    /** Completions since the limit was last adapted. */
    readonly completions: number;
    /** Those of them with a high latency. */
    readonly highLatencies: number;
  }
  | {
    readonly kind: "down";
    readonly sinceMs: number;
    readonly backOffMs: number;
    readonly probeAtMs: number;
  };

/** A state with what counts towards leaving it. */
export interface ServerHealth {
  readonly state: ServerState;
  /** Failures since the last completion; a timeout counts in part. */
  readonly failures: number;
}

export interface CallReport {
  readonly outcome: CallOutcome;
  readonly grade: LatencyGrade;
  readonly grantedAtMs: number;
}

export interface ReportContext {
  readonly service: Service;
  readonly nowMs: number;
}

/**
 * A server of which nothing is known.
 *
 * @example
 * ```ts
 * limitOf(unknownHealth(nowMs).state, { service, nowMs }); // the cold limit
 * ```
 */
export function unknownHealth(nowMs: number): ServerHealth {
  return {
    state: { kind: "unknown", sinceMs: nowMs },
    failures: 0,
  };
}

/**
 * A server that somebody else saw to be warm: its limit starts low and rises
 * with each healthy completion.
 *
 * @example
 * ```ts
 * observedWarmHealth(outstanding, { service, nowMs });
 * ```
 */
export function observedWarmHealth(
  inFlight: number,
  context: ReportContext,
): ServerHealth {
  const { service, nowMs } = context;
  const limit = Math.max(service.coldLimit, inFlight);
  return {
    state: raiseTo(limit, context, nowMs),
    failures: 0,
  };
}

/**
 * The calls that may be in flight at a server in this state.
 *
 * @example
 * ```ts
 * if (inFlight < limitOf(state, { service, nowMs })) grant();
 * ```
 */
export function limitOf(state: ServerState, context: ReportContext): number {
  const { service, nowMs } = context;
  switch (state.kind) {
    case "unknown":
    case "cold":
      return service.coldLimit;
    case "warming":
    case "warm":
      return Math.min(state.limit, service.warmLimit);
    case "down":
      return nowMs >= state.probeAtMs ? 1 : 0;
  }
}

/**
 * Whether the server may be granted only under a valid lease.
 *
 * @example
 * ```ts
 * isCold({ kind: "unknown", sinceMs: 0 }); // true
 * ```
 */
export function isCold(state: ServerState): boolean {
  switch (state.kind) {
    case "unknown":
    case "cold":
    case "down":
      return true;
    case "warming":
    case "warm":
      return false;
  }
}

/**
 * The health after a call ended.
 *
 * @example
 * ```ts
 * const next = afterCall(health, report, { service, nowMs });
 * ```
 */
export function afterCall(
  health: ServerHealth,
  report: CallReport,
  context: ReportContext,
): ServerHealth {
  switch (report.outcome) {
    case "notSent":
    case "canceled":
      return health;
    case "completed":
      return {
        state: afterCompletion(health.state, report, context),
        failures: 0,
      };
    case "connectFailed":
    case "refusedByServer":
    case "failed":
    case "timedOut":
      return afterFailure(health, report, context);
  }
}

/**
 * The health as time passes: long idleness makes a server cold.
 *
 * @example
 * ```ts
 * const next = afterTime(health, { service, nowMs });
 * ```
 */
export function afterTime(
  health: ServerHealth,
  context: ReportContext,
): ServerHealth {
  const { state } = health;
  if (state.kind !== "warm" && state.kind !== "warming") return health;
  const idleMs = context.nowMs - state.lastUsedAtMs;
  if (idleMs < context.service.coldAfterIdleMs) return health;
  return { ...health, state: coldState(context.nowMs) };
}

/**
 * A cold server whose completions count from now on.
 *
 * @example
 * ```ts
 * coldState(nowMs);
 * ```
 */
export function coldState(nowMs: number): ServerState {
  return {
    kind: "cold",
    sinceMs: nowMs,
    completions: 0,
    usualLeft: undefined,
  };
}

/**
 * Holds a server at the cold limit until a few usual calls have ended.
 *
 * @example
 * ```ts
 * suspectedState(nowMs);
 * ```
 */
export function suspectedState(nowMs: number): ServerState {
  return {
    kind: "cold",
    sinceMs: nowMs,
    completions: 0,
    usualLeft: SUSPECT_COMPLETIONS,
  };
}

function afterCompletion(
  state: ServerState,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { nowMs } = context;
  const isOfThisState = report.grantedAtMs >= state.sinceMs;
  switch (state.kind) {
    case "unknown":
      return isOfThisState
        ? countCompletion(
          { ...state, kind: "cold", completions: 0, usualLeft: undefined },
          report,
          context,
        )
        : state;
    case "down":
      return coldState(nowMs);
    case "cold":
      if (!isOfThisState) return state;
      return state.usualLeft !== undefined && report.grade === "coldStart"
        ? coldState(nowMs)
        : countCompletion(state, report, context);
    case "warming":
      if (report.grade === "coldStart") return suspectedState(nowMs);
      return raiseTo(state.limit + 1, context, state.sinceMs);
    case "warm":
      if (report.grade === "coldStart") return suspectedState(nowMs);
      return adaptLimit(state, report, context);
  }
}

function countCompletion(
  state: Extract<ServerState, { kind: "cold" }>,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const completions = state.completions + 1;
  const isUsual = report.grade === "usual";
  const usualLeft = state.usualLeft === undefined
    ? undefined
    : state.usualLeft - (isUsual ? 1 : 0);
  const isCounted = completions >= context.service.warmAfterCompletions;
  if (!isCounted && usualLeft !== 0) {
    return { ...state, completions, usualLeft };
  }
  return raiseTo(context.service.coldLimit + 1, context, context.nowMs);
}

function raiseTo(
  limit: number,
  context: ReportContext,
  sinceMs: number,
): ServerState {
  const { service, nowMs } = context;
  if (limit < service.warmLimit) {
    return { kind: "warming", sinceMs, limit, lastUsedAtMs: nowMs };
  }
  return {
    kind: "warm",
    sinceMs,
    limit: service.warmLimit,
    lastUsedAtMs: nowMs,
    completions: 0,
    highLatencies: 0,
  };
}

/** Additive increase, multiplicative decrease, once for each limit's worth. */
function adaptLimit(
  state: Extract<ServerState, { kind: "warm" }>,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { service, nowMs } = context;
  const completions = state.completions + 1;
  const highLatencies = state.highLatencies +
    (report.grade === "high" ? 1 : 0);
  if (completions < Math.max(MIN_WINDOW, state.limit)) {
    return { ...state, completions, highLatencies, lastUsedAtMs: nowMs };
  }
  const limit = highLatencies >= HIGH_PART * completions
    ? lowerLimitOf(state.limit, service)
    : Math.min(service.warmLimit, state.limit + INCREASE_STEP);
  return {
    ...state,
    limit,
    completions: 0,
    highLatencies: 0,
    lastUsedAtMs: nowMs,
  };
}

function lowerLimit(state: ServerState, context: ReportContext): ServerState {
  if (state.kind !== "warm") return state;
  return { ...state, limit: lowerLimitOf(state.limit, context.service) };
}

function lowerLimitOf(limit: number, service: Service): number {
  const least = Math.max(
    service.coldLimit,
    Math.ceil(service.warmLimit * MIN_LIMIT_PART),
  );
  return Math.max(least, Math.floor(limit * DECREASE_FACTOR));
}

function afterFailure(
  health: ServerHealth,
  report: CallReport,
  context: ReportContext,
): ServerHealth {
  const { state } = health;
  // Calls that began before a change of state fail for its known cause.
  if (report.grantedAtMs < state.sinceMs) return health;
  const weight = report.outcome === "timedOut" ? TIMEOUT_WEIGHT : 1;
  const failures = health.failures + weight;
  if (state.kind === "down" || failures >= BREAKER_FAILURES) {
    return { ...health, state: downState(state, context.nowMs), failures };
  }
  return { ...health, state: suspectState(state, report, context), failures };
}

function downState(state: ServerState, nowMs: number): ServerState {
  const backOffMs = state.kind === "down"
    ? Math.min(MAX_BACK_OFF_MS, 2 * state.backOffMs)
    : FIRST_BACK_OFF_MS;
  return {
    kind: "down",
    sinceMs: nowMs,
    backOffMs,
    probeAtMs: nowMs + backOffMs,
  };
}

function suspectState(
  state: ServerState,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { nowMs } = context;
  const isSureSign = report.outcome === "connectFailed" ||
    report.outcome === "refusedByServer";
  if (isSureSign || isCold(state)) return coldState(nowMs);
  if (report.outcome === "timedOut") return lowerLimit(state, context);
  return suspectedState(nowMs);
}
