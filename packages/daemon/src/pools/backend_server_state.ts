/**
 * The state of one backend server as its pool's owner tracks it, and the
 * concurrency limit that each state allows. All functions here are pure.
 *
 * @module
 */

import type { CallOutcome } from "@sassafrasstage/protocol/permits";
import type { Service } from "@sassafrasstage/protocol/register";
import type { LatencyGrade } from "./latency_baseline.js";

const BREAKER_FAILURE_THRESHOLD = 3;
/**
 * A timeout counts less than a failure, since the request's own short deadline
 * may have caused it.
 */
const TIMEOUT_FAILURE_WEIGHT = 0.3;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;
/** Calls of usual latency that clear a server suspected of a cold start. */
const SUSPECTED_COLD_COMPLETIONS = 5;
const LIMIT_DECREASE_FACTOR = 0.9;
/** Minimum completions between two adjustments of the adaptive limit. */
const MIN_ADAPTATION_COMPLETIONS = 8;
/** The adaptive limit is at least this fraction of the registered limit. */
const MIN_LIMIT_FRACTION = 0.5;
/** The limit decreases if this fraction of a window's latencies was high. */
const HIGH_LATENCY_FRACTION = 0.75;
const LIMIT_INCREASE_STEP = 2;

/**
 * `sinceMs` is when the state began. A completion that turns `unknown` into
 * `cold`, or `warming` into `warm`, keeps the earlier time. Calls granted before
 * `sinceMs` say nothing about the state.
 */
export type ServerState =
  | { readonly kind: "unknown"; readonly sinceMs: number }
  | {
    readonly kind: "cold";
    readonly sinceMs: number;
    readonly completions: number;
    /**
     * Completions of usual latency still needed to clear a server that is only
     * suspected of a cold start; undefined if the cold start is certain.
     */
    readonly usualCompletionsLeft: number | undefined;
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
    /** How many of these completions had a high latency. */
    readonly highLatencies: number;
  }
  | {
    readonly kind: "down";
    readonly sinceMs: number;
    readonly backoffMs: number;
    readonly probeAtMs: number;
  };

/** A server's state and the failures counted by its circuit breaker. */
export interface ServerHealth {
  readonly state: ServerState;
  /** Failures since the last completion; a timeout counts as a fraction. */
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
 * The health of a server about which nothing is known yet.
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
 * The health of a server that another daemon observed to be warm. Its limit
 * starts low and rises with each completion that shows no cold start. The state
 * counts from the observation, so that any newer sign of a cold start ends it.
 *
 * @example
 * ```ts
 * observedWarmHealth({ inFlight, seenAtMs }, { service, nowMs });
 * ```
 */
export function observedWarmHealth(
  observed: { readonly inFlight: number; readonly seenAtMs: number },
  context: ReportContext,
): ServerHealth {
  const limit = Math.max(context.service.coldLimit, observed.inFlight);
  return {
    state: warmingOrWarmState(limit, context, observed.seenAtMs),
    failures: 0,
  };
}

/**
 * The number of calls that may be in flight at a server in this state.
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
 * Whether the server counts as cold, so that calls to it may be granted only
 * under a valid lease.
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
 * The server's health after a call has ended.
 *
 * @example
 * ```ts
 * const next = healthAfterCall(health, report, { service, nowMs });
 * ```
 */
export function healthAfterCall(
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
        state: stateAfterCompletion(health.state, report, context),
        failures: 0,
      };
    case "connectFailed":
    case "refusedByServer":
    case "failed":
    case "timedOut":
      return healthAfterFailure(health, report, context);
  }
}

/**
 * The server's health at the given time: a server that has been idle for
 * `coldAfterIdleMs` counts as cold.
 *
 * @example
 * ```ts
 * const next = healthAfterIdleTime(health, { service, nowMs });
 * ```
 */
export function healthAfterIdleTime(
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
 * The state of a server that is certainly cold. Only calls granted from now on
 * count towards warming it up.
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
    usualCompletionsLeft: undefined,
  };
}

/**
 * The state of a server suspected of a cold start. It keeps the cold limit
 * until a few calls have completed with a usual latency, or until as many calls
 * have completed as after a certain cold start.
 *
 * @example
 * ```ts
 * suspectedColdState(nowMs);
 * ```
 */
export function suspectedColdState(nowMs: number): ServerState {
  return {
    kind: "cold",
    sinceMs: nowMs,
    completions: 0,
    usualCompletionsLeft: SUSPECTED_COLD_COMPLETIONS,
  };
}

function stateAfterCompletion(
  state: ServerState,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { nowMs } = context;
  const wasGrantedInThisState = report.grantedAtMs >= state.sinceMs;
  switch (state.kind) {
    case "unknown":
      return wasGrantedInThisState
        ? countCompletion(
          {
            ...state,
            kind: "cold",
            completions: 0,
            usualCompletionsLeft: undefined,
          },
          report,
          context,
        )
        : state;
    case "down":
      return coldState(nowMs);
    case "cold":
      if (!wasGrantedInThisState) return state;
      return state.usualCompletionsLeft !== undefined &&
          report.grade === "coldStart"
        ? coldState(nowMs)
        : countCompletion(state, report, context);
    case "warming":
      if (report.grade === "coldStart") return suspectedColdState(nowMs);
      return warmingOrWarmState(state.limit + 1, context, state.sinceMs);
    case "warm":
      if (report.grade === "coldStart") return suspectedColdState(nowMs);
      return adaptLimit(state, report, context);
  }
}

function countCompletion(
  state: Extract<ServerState, { kind: "cold" }>,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const completions = state.completions + 1;
  const hasUsualLatency = report.grade === "usual";
  const usualCompletionsLeft = state.usualCompletionsLeft === undefined
    ? undefined
    : state.usualCompletionsLeft - (hasUsualLatency ? 1 : 0);
  const isWarmedUp = hasWarmedUp(completions, {
    isSlow: !hasUsualLatency && report.grade !== "unknown",
    needed: context.service.warmAfterCompletions,
  });
  if (!isWarmedUp && usualCompletionsLeft !== 0) {
    return { ...state, completions, usualCompletionsLeft };
  }
  return warmingOrWarmState(
    context.service.coldLimit + 1,
    context,
    context.nowMs,
  );
}

/**
 * The server may have turned cold again during its warm-up, and then needs as
 * many completions once more. If its latency may show that, both warm-ups must
 * have been completed.
 */
function hasWarmedUp(
  completions: number,
  warmUp: { readonly isSlow: boolean; readonly needed: number },
): boolean {
  const { isSlow, needed } = warmUp;
  return completions >= (isSlow ? 2 * needed : needed);
}

function warmingOrWarmState(
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

/**
 * Adapts the limit by additive increase and multiplicative decrease, each time
 * that as many calls have completed as the limit allows in flight, but at least
 * `MIN_ADAPTATION_COMPLETIONS`.
 */
function adaptLimit(
  state: Extract<ServerState, { kind: "warm" }>,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { service, nowMs } = context;
  const completions = state.completions + 1;
  const highLatencies = state.highLatencies +
    (report.grade === "high" ? 1 : 0);
  if (completions < Math.max(MIN_ADAPTATION_COMPLETIONS, state.limit)) {
    return { ...state, completions, highLatencies, lastUsedAtMs: nowMs };
  }
  const limit = highLatencies >= HIGH_LATENCY_FRACTION * completions
    ? decreasedLimit(state.limit, service)
    : Math.min(service.warmLimit, state.limit + LIMIT_INCREASE_STEP);
  return {
    ...state,
    limit,
    completions: 0,
    highLatencies: 0,
    lastUsedAtMs: nowMs,
  };
}

function withDecreasedLimit(
  state: ServerState,
  context: ReportContext,
): ServerState {
  if (state.kind !== "warm") return state;
  return { ...state, limit: decreasedLimit(state.limit, context.service) };
}

function decreasedLimit(limit: number, service: Service): number {
  const minLimit = Math.max(
    service.coldLimit,
    Math.ceil(service.warmLimit * MIN_LIMIT_FRACTION),
  );
  return Math.max(minLimit, Math.floor(limit * LIMIT_DECREASE_FACTOR));
}

function healthAfterFailure(
  health: ServerHealth,
  report: CallReport,
  context: ReportContext,
): ServerHealth {
  const { state } = health;
  if (report.grantedAtMs < state.sinceMs) {
    return healthAfterEarlierFailure(health, report, context);
  }
  const weight = report.outcome === "timedOut" ? TIMEOUT_FAILURE_WEIGHT : 1;
  const failures = health.failures + weight;
  if (state.kind === "down" || failures >= BREAKER_FAILURE_THRESHOLD) {
    return { ...health, state: downState(state, context.nowMs), failures };
  }
  return {
    ...health,
    state: stateAfterFailure(state, report, context),
    failures,
  };
}

/**
 * Calls granted before a change of state fail for the cause of that change, and
 * aren't counted. A refusal still makes the cold start certain: what made the
 * change may have been a mere suspicion.
 */
function healthAfterEarlierFailure(
  health: ServerHealth,
  report: CallReport,
  context: ReportContext,
): ServerHealth {
  if (!isDefiniteColdStart(report) || health.state.kind === "down") {
    return health;
  }
  return { ...health, state: coldState(context.nowMs) };
}

function isDefiniteColdStart(report: CallReport): boolean {
  return report.outcome === "connectFailed" ||
    report.outcome === "refusedByServer";
}

function downState(state: ServerState, nowMs: number): ServerState {
  const backoffMs = state.kind === "down"
    ? Math.min(MAX_BACKOFF_MS, 2 * state.backoffMs)
    : INITIAL_BACKOFF_MS;
  return {
    kind: "down",
    sinceMs: nowMs,
    backoffMs,
    probeAtMs: nowMs + backoffMs,
  };
}

function stateAfterFailure(
  state: ServerState,
  report: CallReport,
  context: ReportContext,
): ServerState {
  const { nowMs } = context;
  if (isDefiniteColdStart(report) || isCold(state)) return coldState(nowMs);
  if (report.outcome === "timedOut") return withDecreasedLimit(state, context);
  return suspectedColdState(nowMs);
}
