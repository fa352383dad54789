/**
 * The interface through which pipelines get permits to call backend servers.
 *
 * @module
 */

import type { PoolId, ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  Permit,
  PermitDecision,
  PermitRelease,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";

export interface PermitSource {
  /**
   * Requests a permit from the pool's owner and waits for the decision. Never
   * rejects: a silent owner or an aborted signal results in a refusal. When
   * `signal` aborts, a permit that still arrives is returned to the owner.
   */
  acquire(
    permitRequest: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitDecision>;
  /** Reports the time to the first token of a call that is still running. */
  recordFirstToken(permit: Permit, firstTokenMs: number): void;
  /** Returns a permit. Must be called once for each granted permit. */
  release(permit: Permit, release: PermitRelease): void;
  /**
   * Whether the permit may still be used, by this daemon's own clock. Must be
   * checked right before a call is sent: after a pause of the process it may hold
   * a permit that the owner no longer counts.
   */
  isPermitValid(permit: Permit, nowMs: number): boolean;
  /** The pools that can run the service now, in order of preference. */
  candidatePools(service: ServiceName, nowMs: number): PoolId[];
}
