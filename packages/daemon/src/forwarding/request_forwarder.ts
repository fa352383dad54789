/**
 * Admits client requests by the active routes and forwards them.
 *
 * @module
 */

import {
  countItems,
  findGraphFault,
} from "@sassafrasstage/protocol/stage_graph";
import { pollSockets } from "../http/poll_sockets.js";
import type { RouteTable } from "../routing/route_table.js";
import { chooseService } from "../routing/route_table.js";
import type { ClientAccount, Route } from "../routing/routing_configuration.js";
import { AnswerGuard } from "./answer_guard.js";
import type {
  ForwardContext,
  ForwardEnvironment,
  ForwardOutcome,
} from "./forward_context.js";
import { forwardStream } from "./forward_stream.js";
import {
  forwardBuffered,
  replyAtLifetimeEnd,
  replyLocally,
} from "./forward_buffered.js";
import { graphStagesOf } from "./prepare_inputs.js";
import { RequestLifetime } from "./request_lifetime.js";
import { canFinishBeforeExit, type Shutdown } from "./shutdown_admission.js";
import type { VmAdmission } from "./vm_admission.js";
import type {
  ClientChannel,
  LocalReply,
  RefusalReason,
  RoutedRequest,
} from "./routed_request.js";

export interface RequestForwarderOptions {
  readonly environment: ForwardEnvironment;
  /** The active routes; undefined before the first configuration. */
  readonly table: () => RouteTable | undefined;
  /** Time since the active routes were last known to be current. */
  readonly configurationAgeMs: (nowMs: number) => number;
  /** Undefined unless this process is shutting down. */
  readonly shutdown: () => Shutdown | undefined;
  /** Admission by this VM's lag; without it, all requests are admitted. */
  readonly vmAdmission?: VmAdmission | undefined;
}

type Admission =
  | { readonly kind: "admitted"; readonly context: ForwardContext }
  | { readonly kind: "refused"; readonly reply: LocalReply };

/** Time within which a starting daemon is likely to have a configuration. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** An accepted configuration is in force everywhere within this time. */
const MAX_CONFIGURATION_AGE_MS = 2000;
/** Short, as another VM can take the request immediately. */
const OTHER_VM_RETRY_AFTER_MS = 20;

export class RequestForwarder {
  readonly #options: RequestForwarderOptions;
  readonly #lifetimes = new Set<RequestLifetime>();
  #inFlight = 0;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /** Number of requests without a final response. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Ends all remaining requests with a final reply where that is possible. */
  endAllRequests(): void {
    for (const lifetime of this.#lifetimes) lifetime.endForProcessExit();
  }

  /** Resolves once the request has its final response; never rejects. */
  async forward(
    request: RoutedRequest,
    channel: ClientChannel,
  ): Promise<void> {
    const { environment } = this.#options;
    const guard = new AnswerGuard(request, { channel, environment });
    let context: ForwardContext | undefined;
    this.#inFlight += 1;
    try {
      const admission = this.#admit(request, guard);
      if (admission.kind === "refused") {
        this.#refuse(request, guard, admission.reply);
        return;
      }
      context = admission.context;
      this.#lifetimes.add(context.lifetime);
      guard.enter("forwarding");
      const outcome = guard.settle(await this.#forwardAdmitted(context));
      guard.enter("recording");
      this.#recordOutcome(request, outcome, context);
    } catch (error) {
      const outcome = guard.settleAfterError(error);
      this.#logOutcome(request, outcome, context);
    } finally {
      this.#inFlight -= 1;
      if (context !== undefined) this.#lifetimes.delete(context.lifetime);
    }
  }

  async #forwardAdmitted(context: ForwardContext): Promise<ForwardOutcome> {
    const { vmAdmission } = this.#options;
    if (vmAdmission?.isEnabled !== true) return forwardAdmitted(context);
    const refusal = await vmAdmission.enter(context);
    if (refusal !== undefined) {
      context.lifetime.close();
      return replyLocally(context, refusal);
    }
    vmAdmission.recordStart(context);
    try {
      return await forwardAdmitted(context);
    } finally {
      vmAdmission.recordEnd(context);
    }
  }

  #refuse(
    request: RoutedRequest,
    guard: AnswerGuard,
    reply: LocalReply,
  ): void {
    guard.channel.sendLocalReply(reply);
    guard.enter("recording");
    this.#logRefusal(request, reply);
    this.#recordOutcome(request, {
      kind: "own",
      answer: reply.kind === "refused" ? reply.reason : reply.kind,
      detail: "",
    });
  }

  /** What the refusal rests on. */
  #logRefusal(request: RoutedRequest, reply: LocalReply): void {
    const { configurationAgeMs, environment, table } = this.#options;
    const { clock, logger } = environment;
    logger.info("requestNotAdmitted", {
      request: request.attemptId,
      reason: reply.kind === "refused" ? reply.reason : reply.kind,
      version: table()?.configuration.version,
      versionAgeMs: Math.round(configurationAgeMs(clock.nowMs())),
    });
  }

  #admit(
    request: RoutedRequest,
    { channel, environment }: AnswerGuard,
  ): Admission {
    const table = this.#options.table();
    if (table === undefined) {
      return refuse("notReady", "No configuration is in force yet");
    }
    const route = table.findRoute(request.host, request.path);
    if (route === undefined) {
      return this.#refuseByConfiguration("noRoute", "No route matches");
    }
    const account = findAccount(table, route, request.key);
    if (account === "unknown") {
      return this.#refuseByConfiguration("unknownKey", "Unknown key");
    }
    const limitMs = Math.min(
      route.timeoutMs,
      request.deadlineInMs ?? route.timeoutMs,
    );
    if (!this.#canFinishBeforeExit(route, limitMs)) {
      return refuse("leaving", "This VM ends before the answer would");
    }
    const service = chooseService(route, Math.random());
    if (service === undefined) return refuse("noServer", "No service");
    const lifetime = new RequestLifetime({
      endsAtMs: request.receivedAtMs + limitMs,
      clock: environment.clock,
    });
    channel.onClosed(() => {
      lifetime.endForClientDisconnect();
    });
    const context: ForwardContext = {
      environment,
      request,
      channel,
      route,
      service,
      account,
      lifetime,
      stageGroup: table.stageGroupOf(route),
      configurationVersion: table.configuration.version,
      trace: {},
      ...this.#estimateAge(route, request),
    };
    const stageItemsError = findStageItemsError(context);
    if (stageItemsError === undefined) return { kind: "admitted", context };
    lifetime.close();
    return this.#refuseByConfiguration("badRequest", stageItemsError);
  }

  /**
   * Refuses what the configuration doesn't allow. A newer one may allow it, so
   * the refusal is final only if the configuration is known to be current.
   */
  #refuseByConfiguration(reason: RefusalReason, detail: string): Admission {
    const { configurationAgeMs, environment } = this.#options;
    const ageMs = configurationAgeMs(environment.clock.nowMs());
    if (ageMs <= MAX_CONFIGURATION_AGE_MS) return refuse(reason, detail);
    environment.metrics.countEvent("refusedAsOutdated");
    return refuse("outdated", `The configuration may be outdated: ${reason}`);
  }

  #estimateAge(
    route: Route,
    { deadlineInMs }: RoutedRequest,
  ): Pick<ForwardContext, "ageMs"> {
    const { vmAdmission } = this.#options;
    if (vmAdmission?.isEnabled !== true) return {};
    return { ageMs: vmAdmission.ageMs(route.name, deadlineInMs) };
  }

  /** A request that can't finish here is refused, as another VM can serve it. */
  #canFinishBeforeExit(route: Route, limitMs: number): boolean {
    const shutdown = this.#options.shutdown();
    if (shutdown === undefined) return true;
    const { clock, routeStatistics: statistics } = this.#options.environment;
    const highEstimateMs = statistics.highDurationEstimateMs(route.name);
    return canFinishBeforeExit(
      shutdown,
      { highEstimateMs, limitMs },
      clock.nowMs(),
    );
  }

  #recordOutcome(
    request: RoutedRequest,
    outcome: ForwardOutcome,
    context?: ForwardContext,
  ): void {
    const { environment } = this.#options;
    const durationMs = environment.clock.nowMs() - request.receivedAtMs;
    if (context !== undefined && outcome.kind === "answered") {
      environment.routeStatistics.recordDuration(
        context.route.name,
        durationMs,
      );
      environment.latencies.record({
        pipeline: context.route.name,
        stage: "whole",
        durationMs,
        callMs: 0,
        tokens: context.request.prompt?.inputTokens ?? 0,
      });
    }
    this.#logOutcome(request, outcome, context);
  }

  #logOutcome(
    request: RoutedRequest,
    outcome: ForwardOutcome,
    context: ForwardContext | undefined,
  ): void {
    const { metrics, logger, clock } = this.#options.environment;
    const durationMs = clock.nowMs() - request.receivedAtMs;
    metrics.countEvent(
      `request.${outcome.kind}${
        outcome.kind === "own" ? `.${outcome.answer}` : ""
      }`,
    );
    const fields = {
      request: request.attemptId,
      route: context?.route.name,
      version: context?.configurationVersion,
      softwareVersion: context?.trace?.softwareVersion,
      outcome: outcome.kind,
      reason: outcome.kind === "own" ? outcome.answer : undefined,
      status: outcome.kind === "answered" ? outcome.status : undefined,
      detail: outcome.kind === "own" || outcome.kind === "brokenOff"
        ? outcome.detail
        : undefined,
      durationMs: Math.round(durationMs),
    };
    if (outcome.kind === "answered" && outcome.status < 500) {
      logger.debug("requestEnded", fields);
    } else logger.info("requestEnded", fields);
  }
}

async function forwardAdmitted(
  context: ForwardContext,
): Promise<ForwardOutcome> {
  try {
    await pollSockets();
    if (context.lifetime.end !== undefined) {
      return replyAtLifetimeEnd(context, false);
    }
    return context.route.repeatability.kind === "stream"
      ? await forwardStream(context)
      : await forwardBuffered(context);
  } finally {
    context.lifetime.close();
  }
}

/** Set only for refusals where a later retry, or another VM, may succeed. */
function retryAfterOf(reason: RefusalReason): number | undefined {
  switch (reason) {
    case "notReady":
    case "outdated":
      return NOT_READY_RETRY_AFTER_MS;
    case "leaving":
    case "noServer":
      return OTHER_VM_RETRY_AFTER_MS;
    default:
      return undefined;
  }
}

function refuse(reason: RefusalReason, detail: string): Admission {
  const retryAfterMs = retryAfterOf(reason);
  return {
    kind: "refused",
    reply: { kind: "refused", reason, retryAfterMs, detail },
  };
}

function findAccount(
  table: RouteTable,
  route: Route,
  key: string | undefined,
): ClientAccount | undefined | "unknown" {
  const account = key === undefined ? undefined : table.findAccount(key);
  if (account !== undefined) return account;
  return table.requiresKeys && !route.isPublic ? "unknown" : undefined;
}

function findStageItemsError(context: ForwardContext): string | undefined {
  const { route, request } = context;
  if (route.stages.length === 0) return undefined;
  const items = request.stageItems;
  if (items === undefined) return "The numbers of stage items are missing";
  if (items.length !== route.stages.length) {
    return `Expected ${route.stages.length} numbers of stage items`;
  }
  const { maxStageItems } = context.environment;
  const stages = graphStagesOf(context);
  const itemCount = countItems(stages);
  if (itemCount > maxStageItems) {
    return `The stages have ${itemCount} items, more than ${maxStageItems}`;
  }
  return findGraphFault(stages);
}
