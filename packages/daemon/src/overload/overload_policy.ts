/**
 * The policy by which work is delayed or refused under overload.
 *
 * Unless an operator has set it, it follows what the servers of the deployment
 * state: once one of them says how long work takes there at present, the work in
 * stage queues is delayed and refused by what that costs callers.
 *
 * @module
 */

import type { Logger } from "../observability/logger.js";

export const OVERLOAD_POLICIES = ["callerCost", "legacy"] as const;

export type OverloadPolicyName = typeof OVERLOAD_POLICIES[number];

/** How this VM learned that servers state how long work takes. */
export type WorkTimeSource = "server" | "peer";

/** One per process. */
export class OverloadPolicy {
  readonly #configured: OverloadPolicyName | undefined;
  readonly #logger: Logger | undefined;
  #haveServersStatedWorkTime = false;

  /** @param configured Undefined unless an operator has set the policy */
  constructor(configured?: OverloadPolicyName, logger?: Logger) {
    this.#configured = configured;
    this.#logger = logger;
  }

  get isCallerCost(): boolean {
    if (this.#configured !== undefined) {
      return this.#configured === "callerCost";
    }
    return this.#haveServersStatedWorkTime;
  }

  /**
   * Whether requests wait for the VM's processor, and are refused if it is too
   * far behind. Only if an operator has asked for it: it serves more worth but
   * fewer requests, which isn't better for every deployment.
   */
  get admitsByLag(): boolean {
    return this.#configured === "callerCost";
  }

  /** Whether a server has stated how long work takes, as far as is known here. */
  get haveServersStatedWorkTime(): boolean {
    return this.#haveServersStatedWorkTime;
  }

  /** Takes effect on decisions from now on; waiting work stays where it waits. */
  recordStatedWorkTime(source: WorkTimeSource): void {
    if (this.#haveServersStatedWorkTime) return;
    this.#haveServersStatedWorkTime = true;
    this.#logger?.info("overloadPolicyChosen", {
      policy: this.isCallerCost ? "callerCost" : "legacy",
      configured: this.#configured,
      source,
    });
  }
}
