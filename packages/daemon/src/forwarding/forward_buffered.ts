/**
 * Forwards a request whose response is buffered until it is complete.
 *
 * Load pattern: small plain services with a tight latency objective, where
 * individual servers are slow, unresponsive or fail some of their requests. An
 * idempotent request is hedged: it is also sent to a second server once the
 * first one takes unusually long.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { makeDeferred } from "../deferred.js";
import { pollSockets } from "../http/poll_sockets.js";
import type { ForwardContext, ForwardOutcome } from "./forward_context.js";
import {
  mayHedge,
  mayRetryAfterCrash,
  refusePoisonPart,
} from "./refuse_poison_part.js";
import {
  type AttemptResult,
  type BufferedResponse,
  runBufferedAttempt,
  type RunningAttempt,
} from "./run_attempt.js";
import { retryWorth } from "./retry_worth.js";
import type { LocalReply } from "./routed_request.js";

/** Minimum hedge delay, as a fraction of the latency objective. */
const HEDGE_OBJECTIVE_FRACTION = 0.5;
/** Minimum hedge delay, as a multiple of the server's mean latency. */
const HEDGE_LATENCY_FACTOR = 3;
/** Time after which a saturated service is likely to have capacity again. */
const SERVERS_FULL_RETRY_AFTER_MS = 150;
/** Time after its deadline in which a server may still close a call itself. */
const ABANDONED_CALL_GRACE_MS = 1000;
/** Maximum number of not-run attempts that are followed by another one. */
const MAX_REFUSALS = 3;

interface ForwardState {
  readonly triedServers: Set<BackendServerId>;
  readonly running: Set<RunningAttempt>;
  /** Number of calls that may have run. */
  runs: number;
  refusals: number;
  failureDetail: string;
  hasCrashedServer: boolean;
  /** Why another attempt was refused here. */
  refusal: LocalReply | undefined;
  /** A 5xx response, forwarded if no other attempt succeeds. */
  serverError: BufferedResponse | undefined;
}

export async function forwardBuffered(
  context: ForwardContext,
): Promise<ForwardOutcome> {
  const state: ForwardState = {
    triedServers: new Set(),
    running: new Set(),
    runs: 0,
    refusals: 0,
    failureDetail: "",
    hasCrashedServer: false,
    refusal: undefined,
    serverError: undefined,
  };
  context.environment.directory.retryBudgetOf(context.service)
    .recordRequest(context.environment.clock.nowMs());
  const { promise, stop } = listenForLifetimeEnd(context);
  try {
    return await runAttempts(context, state, promise);
  } finally {
    stop();
    for (const attempt of state.running) {
      if (isIdempotent(context)) attempt.cancel();
      else abandonAttempt(context, attempt);
    }
  }
}

/**
 * Gives up a non-idempotent attempt. Once it was sent, its server may be working
 * on it until the deadline that it was told; after that, the connection is freed.
 */
function abandonAttempt(
  context: ForwardContext,
  attempt: RunningAttempt,
): void {
  if (attempt.cancelIfNotSent()) return;
  const remainingMs = Math.max(0, context.lifetime.remainingMs());
  const timer = setTimeout(() => {
    attempt.cancel();
  }, remainingMs + ABANDONED_CALL_GRACE_MS);
  timer.unref();
  void attempt.result.then(() => {
    clearTimeout(timer);
  });
}

interface AttemptOptions {
  readonly isHedge: boolean;
}

/** An attempt result, the hedge timer, or the end of the lifetime. */
type RaceEvent =
  | {
    readonly kind: "result";
    readonly attempt: RunningAttempt;
    readonly result: AttemptResult;
  }
  | { readonly kind: "hedge" }
  | { readonly kind: "ended" };

async function runAttempts(
  context: ForwardContext,
  state: ForwardState,
  ended: Promise<RaceEvent>,
): Promise<ForwardOutcome> {
  if (!await startAttempt(context, state, { isHedge: false })) {
    return context.lifetime.end === undefined
      ? refuse(context, state)
      : replyAtLifetimeEnd(context, false);
  }
  let isHedgeDue = isIdempotent(context);
  while (state.running.size > 0) {
    const event = await nextEvent(context, state, { ended, isHedgeDue });
    switch (event.kind) {
      case "ended":
        return replyAtLifetimeEnd(context, state.runs > 0);
      case "hedge":
        isHedgeDue = false;
        if (mayHedge(context)) {
          await startRetry(context, state, { isHedge: true });
        }
        break;
      case "result": {
        state.running.delete(event.attempt);
        const response = handleResult(context, state, event.result);
        if (response !== undefined) return sendResponse(context, response);
        if (
          state.running.size === 0 && mayRetry(context, state, event.result)
        ) {
          await startRetry(context, state, { isHedge: false });
        }
      }
    }
  }
  if (context.lifetime.end === "clientGone") return { kind: "clientGone" };
  if (state.serverError !== undefined) {
    return sendResponse(context, state.serverError);
  }
  return refuse(context, state);
}

async function nextEvent(
  context: ForwardContext,
  state: ForwardState,
  options: {
    readonly ended: Promise<RaceEvent>;
    readonly isHedgeDue: boolean;
  },
): Promise<RaceEvent> {
  const results = [...state.running].map(async (
    attempt,
  ): Promise<RaceEvent> => ({
    kind: "result",
    attempt,
    result: await attempt.result,
  }));
  if (!options.isHedgeDue) return Promise.race([options.ended, ...results]);
  let timer: NodeJS.Timeout | undefined;
  const hedge = new Promise<RaceEvent>((resolve) => {
    timer = setTimeout(() => {
      resolve({ kind: "hedge" });
    }, hedgeDelayMs(context, state));
  });
  try {
    return await Promise.race([options.ended, hedge, ...results]);
  } finally {
    clearTimeout(timer);
  }
}

function hedgeDelayMs(context: ForwardContext, state: ForwardState): number {
  const { directory } = context.environment;
  const latenciesMs = [...state.triedServers]
    .map((id) => directory.healthOf(id).latencyMs ?? 0);
  return Math.max(
    context.route.objectiveMs * HEDGE_OBJECTIVE_FRACTION,
    HEDGE_LATENCY_FACTOR * Math.max(0, ...latenciesMs),
  );
}

/**
 * Returns the response to send; undefined if the attempt failed. A 5xx response
 * to an idempotent request counts as a failure.
 */
function handleResult(
  context: ForwardContext,
  state: ForwardState,
  result: AttemptResult,
): BufferedResponse | undefined {
  switch (result.kind) {
    case "answered":
      if (result.response.head.status < 500 || !isIdempotent(context)) {
        return result.response;
      }
      state.serverError = result.response;
      return undefined;
    case "notRun":
    case "notSent":
      state.runs -= 1;
      state.refusals += 1;
      return undefined;
    case "broken":
      state.failureDetail = result.detail;
      return undefined;
  }
}

function mayRetry(
  context: ForwardContext,
  state: ForwardState,
  result: AttemptResult,
): boolean {
  const hasNotRun = result.kind === "notRun" || result.kind === "notSent";
  if (!hasNotRun && !isIdempotent(context)) return false;
  if (state.hasCrashedServer && !mayRetryAfterCrash(context)) return false;
  return state.refusals <= MAX_REFUSALS;
}

async function startRetry(
  context: ForwardContext,
  state: ForwardState,
  options: AttemptOptions,
): Promise<void> {
  await pollSockets();
  if (context.lifetime.end !== undefined) return;
  if (spendRetry(context, state)) {
    await startAttempt(context, state, options);
  }
}

/**
 * Attempts that did not run don't count against `maxAttempts`; their retries are
 * taken from the retry budget like any other.
 */
function spendRetry(context: ForwardContext, state: ForwardState): boolean {
  if (state.runs >= context.route.maxAttempts) return false;
  const { directory, clock, metrics } = context.environment;
  const isAllowed = directory.retryBudgetOf(context.service)
    .tryRetry(clock.nowMs(), retryWorth(context));
  if (isAllowed) metrics.countRetry(context.service, "failed");
  else metrics.countEvent("retryBudgetSpent");
  return isAllowed;
}

/** Returns false if there is no server for another attempt or no time left. */
async function startAttempt(
  context: ForwardContext,
  state: ForwardState,
  { isHedge }: AttemptOptions,
): Promise<boolean> {
  if (!isAdmitted(context, state)) return false;
  const { directory, dataCentre } = context.environment;
  const candidate = await directory.assign({
    service: context.service,
    dataCentre,
    prefixKey: undefined,
    excluded: state.triedServers,
    // A hedge must not wait for a permit while the first attempt may end.
    includesRateLimited: !isHedge,
    softwareVersion: undefined,
    route: context.route.name,
  });
  if (candidate === undefined) return false;
  const isWanted = context.lifetime.end === undefined &&
    isAdmitted(context, state);
  if (!isWanted) {
    candidate.permit?.giveBack();
    return false;
  }
  state.triedServers.add(candidate.server.id);
  state.runs += 1;
  state.running.add(runBufferedAttempt({
    context,
    candidate,
    inputs: undefined,
    resumeAfter: undefined,
    onServerCrash: () => {
      state.hasCrashedServer = true;
    },
  }));
  return true;
}

/** Whether nothing in the request is known to crash servers. */
function isAdmitted(context: ForwardContext, state: ForwardState): boolean {
  state.refusal = refusePoisonPart(context);
  return state.refusal === undefined;
}

function isIdempotent(context: ForwardContext): boolean {
  return context.route.repeatability.kind === "idempotent";
}

export function sendResponse(
  context: ForwardContext,
  response: BufferedResponse,
): ForwardOutcome {
  const { channel } = context;
  channel.writeHead(response.head);
  if (response.body.length > 0) channel.write(response.body);
  channel.end();
  return { kind: "answered", status: response.head.status };
}

function refuse(context: ForwardContext, state: ForwardState): ForwardOutcome {
  if (state.runs === 0 && state.refusal !== undefined) {
    return replyLocally(context, state.refusal);
  }
  const reply: LocalReply = state.runs > 0
    ? { kind: "failed", detail: state.failureDetail }
    : {
      kind: "refused",
      reason: state.triedServers.size === 0 ? "noServer" : "serversFull",
      retryAfterMs: Math.max(
        SERVERS_FULL_RETRY_AFTER_MS,
        context.environment.directory.availableInMs(context.service),
      ),
      detail: "No server could take the request",
    };
  return replyLocally(context, reply);
}

export function replyLocally(
  context: ForwardContext,
  reply: LocalReply,
): ForwardOutcome {
  context.channel.sendLocalReply(reply);
  return {
    kind: "own",
    answer: reply.kind === "refused" ? reply.reason : reply.kind,
    detail: reply.kind === "timedOut" ? "" : reply.detail,
  };
}

/** Replies to a request whose lifetime ended before its response. */
export function replyAtLifetimeEnd(
  context: ForwardContext,
  mayHaveRun: boolean,
): ForwardOutcome {
  switch (context.lifetime.end) {
    case "clientGone":
      return { kind: "clientGone" };
    case "processEnding":
      return replyLocally(
        context,
        mayHaveRun ? { kind: "failed", detail: "processEnding" } : {
          kind: "refused",
          reason: "leaving",
          retryAfterMs: SERVERS_FULL_RETRY_AFTER_MS,
          detail: "This VM ends before the request ran",
        },
      );
    case "timeUp":
    case undefined:
      return replyLocally(context, { kind: "timedOut" });
  }
}

function listenForLifetimeEnd(
  context: ForwardContext,
): { readonly promise: Promise<RaceEvent>; readonly stop: () => void } {
  const ended = makeDeferred<RaceEvent>();
  const stop = context.lifetime.onEnd(() => {
    ended.resolve({ kind: "ended" });
  });
  return { promise: ended.promise, stop };
}
