/**
 * The policy by which work is delayed or refused under overload. It can change
 * while the process runs.
 *
 * @module
 */

export const OVERLOAD_POLICIES = ["callerCost", "legacy"] as const;

export type OverloadPolicyName = typeof OVERLOAD_POLICIES[number];

/** One per process. */
export class OverloadPolicy {
  #name: OverloadPolicyName;

  constructor(name: OverloadPolicyName = "legacy") {
    this.#name = name;
  }

  get isCallerCost(): boolean {
    return this.#name === "callerCost";
  }

  /** Takes effect on decisions from now on; waiting work stays where it waits. */
  setPolicy(name: OverloadPolicyName): void {
    this.#name = name;
  }
}
