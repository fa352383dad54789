/**
 * Log lines about the decisions of the rollout owner.
 *
 * @module
 */

import type { RolloutPhaseName } from "@sassafrasstage/protocol/rollouts";
import type { Logger } from "../observability/logger.js";
import type { CandidateVerdict } from "./judge_candidate.js";
import type { PhaseDecision } from "./plan_rollout.js";
import type { CallCounts } from "./rollout_observations.js";
import type { RolloutRequest, RolloutState } from "./rollout_request.js";

export class RolloutLog {
  readonly #logger: Logger;
  readonly #request: RolloutRequest;
  #verdict: CandidateVerdict["kind"] = "undecided";
  #reason = "";

  constructor(logger: Logger, request: RolloutRequest) {
    this.#logger = logger;
    this.#request = request;
  }

  /** This VM starts to own the rollout. */
  recordStart(state: RolloutState | undefined): void {
    const { durationMs } = this.#request;
    this.#logger.info("rolloutOwned", { ...this.#name(), durationMs, state });
  }

  /** Logs a verdict that differs from the one before, with its inputs. */
  recordVerdict(
    verdict: CandidateVerdict,
    inputs: {
      readonly elapsedMs: number;
      readonly totals: readonly CallCounts[];
    },
  ): void {
    if (verdict.kind === this.#verdict) return;
    this.#verdict = verdict.kind;
    const { kind, reason, samples, bad, badServer } = verdict;
    const { faultRatio, missRisk } = verdict;
    this.#logger.info("rolloutVerdict", {
      ...this.#name(),
      verdict: kind,
      reason,
      samples,
      bad,
      badServer,
      faultRatio: faultRatio?.toPrecision(3),
      missRisk: missRisk?.toPrecision(3),
      elapsedMs: Math.round(inputs.elapsedMs),
      counts: formatCounts(inputs.totals),
    });
  }

  /** Logs a decision for another reason than the one before. */
  recordDecision({ phase, reason }: PhaseDecision): void {
    if (reason === this.#reason) return;
    this.#reason = reason;
    this.#logger.info("rolloutDecision", { ...this.#name(), phase, reason });
  }

  /** The phase is announced to all VMs. */
  recordPhase(
    phase: RolloutPhaseName,
    reason: string,
    state: {
      readonly verdict: CandidateVerdict;
      readonly reserved: number | undefined;
    },
  ): void {
    const { verdict, reserved } = state;
    this.#logger.info("rolloutPhase", {
      ...this.#name(),
      phase,
      reason,
      verdict: verdict.kind,
      samples: verdict.samples,
      bad: verdict.bad,
      reserved,
    });
  }

  #name(): { readonly service: string; readonly to: string } {
    const { service, to } = this.#request;
    return { service, to };
  }
}

/** The numbers of sent, answered and failed calls of each route and side. */
function formatCounts(totals: readonly CallCounts[]): string {
  const sums = new Map<string, [number, number, number]>();
  for (const { route, side, sent, answered, failed } of totals) {
    const key = `${route}/${side}`;
    const sum = sums.get(key) ?? [0, 0, 0];
    sums.set(key, [sum[0] + sent, sum[1] + answered, sum[2] + failed]);
  }
  return [...sums].map(([key, sum]) => `${key}:${sum.join("/")}`).join();
}
