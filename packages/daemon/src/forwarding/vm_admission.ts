/**
 * Applies the admission control of this VM to client requests: measures the lag
 * and the processor time by route, and lets requests wait or be refused.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import { makeDeferred } from "../deferred.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import {
  DoorAdmission,
  type DoorRefusal,
  type DoorRequest,
} from "../overload/door_admission.js";
import type { OverloadPolicy } from "../overload/overload_policy.js";
import { RequestAges } from "../overload/request_ages.js";
import { RouteCosts } from "../overload/route_costs.js";
import { VmLag } from "../overload/vm_lag.js";
import type { ForwardContext } from "./forward_context.js";
import type { LocalReply } from "./routed_request.js";

export interface VmAdmissionOptions {
  readonly policy: OverloadPolicy;
  /** Processor capacity of this VM, in cores. */
  readonly processorCores: number;
  /** Interval of the samples of the event loop's delay. */
  readonly sampleIntervalMs: number;
  /** Processor time of the process so far; undefined if it isn't known. */
  readonly usedMs: () => number | undefined;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

interface WaitingRequest {
  readonly settle: (refusal: DoorRefusal | undefined) => void;
}

/** One per process. */
export class VmAdmission {
  readonly #options: VmAdmissionOptions;
  readonly #lag: VmLag;
  readonly #door: DoorAdmission;
  readonly #costs = new RouteCosts();
  readonly #ages = new RequestAges();
  readonly #waiting = new Map<string, WaitingRequest>();
  #sampledAtMs: number | undefined;
  #sampledUseMs: number | undefined;
  #isDecisionScheduled = false;
  #lastNumber = 0;

  constructor(options: VmAdmissionOptions) {
    this.#options = options;
    this.#lag = new VmLag({
      cores: options.processorCores,
      sampleIntervalMs: options.sampleIntervalMs,
      usedMs: options.usedMs,
    });
    this.#door = new DoorAdmission(this.#lag);
    const { metrics, clock } = options;
    metrics.registerGauge("vmLagMs", () => this.#lag.lagMs(clock.nowMs()));
    metrics.registerGauge("vmProcessorUse", () => this.#lag.useShare);
    metrics.registerGauge(
      "requestsAwaitingAdmission",
      () => this.#door.waitingCount,
    );
  }

  get isEnabled(): boolean {
    return this.#options.policy.admitsByLag;
  }

  /** Time since the client's first attempt; to be called once for a request. */
  ageMs(route: string, deadlineInMs: number | undefined): number {
    return this.#ages.ageMs(route, deadlineInMs);
  }

  /** @param delayMs How late the event loop ran */
  recordDelay(delayMs: number, nowMs: number): void {
    const usedMs = this.#options.usedMs();
    const intervalMs = nowMs - (this.#sampledAtMs ?? nowMs);
    const usedInInterval = usedMs === undefined ||
        this.#sampledUseMs === undefined
      ? undefined
      : usedMs - this.#sampledUseMs;
    this.#sampledAtMs = nowMs;
    this.#sampledUseMs = usedMs;
    this.#lag.record({ nowMs, delayMs, intervalMs, usedMs: usedInInterval });
    if (usedInInterval !== undefined && this.isEnabled) {
      this.#costs.recordUse(usedInInterval, intervalMs);
    }
  }

  /**
   * Resolves once the request may be forwarded, or with its refusal. Also
   * resolves when its lifetime ends.
   */
  async enter(context: ForwardContext): Promise<LocalReply | undefined> {
    const { clock } = this.#options;
    this.#lastNumber += 1;
    const id = String(this.#lastNumber);
    const request = this.#toDoorRequest(id, context);
    const decision = this.#door.offer(request, clock.nowMs());
    switch (decision.kind) {
      case "admitted":
        return undefined;
      case "refused":
        return this.#toReply(context, decision);
      case "waiting": {
        const refusal = await this.#wait(id, context);
        return refusal === undefined
          ? undefined
          : this.#toReply(context, refusal);
      }
    }
  }

  recordStart(context: ForwardContext): void {
    this.#costs.recordStart(context.route.name);
  }

  recordEnd(context: ForwardContext): void {
    this.#costs.recordEnd(context.route.name);
  }

  async #wait(
    id: string,
    { lifetime }: ForwardContext,
  ): Promise<DoorRefusal | undefined> {
    const decided = makeDeferred<DoorRefusal | undefined>();
    this.#waiting.set(id, { settle: decided.resolve });
    const stopListening = lifetime.onEnd(() => {
      decided.resolve(undefined);
    });
    this.#decideSoon();
    const refusal = await decided.promise;
    stopListening();
    this.#waiting.delete(id);
    this.#door.remove(id);
    return refusal;
  }

  /** Once per turn of the event loop, after what was ready has been read. */
  #decideSoon(): void {
    if (this.#isDecisionScheduled) return;
    this.#isDecisionScheduled = true;
    setImmediate(() => {
      this.#isDecisionScheduled = false;
      const decisions = this.#door.decide(this.#options.clock.nowMs());
      for (const { request, decision } of decisions) {
        this.#waiting.get(request.id)?.settle(
          decision.kind === "refused" ? decision : undefined,
        );
      }
      if (this.#door.waitingCount > 0) this.#decideSoon();
    });
  }

  #toDoorRequest(id: string, context: ForwardContext): DoorRequest {
    const { request, route, account, lifetime, ageMs = 0 } = context;
    const { routeStatistics } = context.environment;
    const nowMs = this.#options.clock.nowMs();
    return {
      id,
      groups: {
        account: account?.id,
        kind: route.name,
        priority: account?.priority ?? route.priority,
        relativeSize: routeStatistics.expectedRelativeSize(
          route.name,
          request.prompt,
        ),
      },
      isReturn: ageMs > 0,
      objectiveAtMs: request.receivedAtMs + route.objectiveMs - ageMs,
      deadlineAtMs: nowMs + lifetime.remainingMs(),
      serviceMs: Math.min(
        routeStatistics.firstByteMs(route.name),
        route.objectiveMs / 2,
      ),
      costMs: this.#costs.costMs(route.name),
    };
  }

  #toReply(context: ForwardContext, refusal: DoorRefusal): LocalReply {
    const { metrics, logger } = this.#options;
    const { retryAfterMs, inputs } = refusal;
    metrics.countEvent("admissionRefused.vmLag");
    logger.info("requestRefusedForLag", {
      request: context.request.attemptId,
      route: context.route.name,
      priority: context.account?.priority ?? context.route.priority,
      ageMs: Math.round(context.ageMs ?? 0),
      lagMs: Math.round(inputs.lagMs),
      processorUse: Number(inputs.useShare.toFixed(2)),
      waiting: inputs.waiting,
      waitMs: Math.round(inputs.waitMs),
      remainingMs: Math.round(inputs.remainingMs),
      costMs: Number(inputs.costMs.toFixed(1)),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return {
      kind: "refused",
      reason: "overloaded",
      retryAfterMs,
      detail: "This VM can't carry the request in time",
    };
  }
}

/** Processor time of this process; undefined if it can't be read. */
export function readProcessorUseMs(): number | undefined {
  try {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
  } catch {
    return undefined;
  }
}
