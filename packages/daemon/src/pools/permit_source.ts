/**
 * Where the pipelines get the right to call a backend server.
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
   * Asks the pool's owner for a permit and waits for its decision. Never
   * rejects: an owner that is silent, or an aborted signal, is a refusal.
   * When `signal` aborts, a permit that still arrives is given back.
   */
  acquire(
    permitRequest: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitDecision>;
  /** Tells of the first token of a call while it still runs. */
  noteFirstToken(permit: Permit, firstTokenMs: number): void;
  /** Gives a permit back. Must be called once for each granted permit. */
  release(permit: Permit, release: PermitRelease): void;
  /**
   * True until the permit's deadline by the permit client's own clock. To be checked
   * right before a call is sent: a process that was paused may hold a permit
   * that its owner no longer counts.
   */
  isSpendable(permit: Permit, nowMs: number): boolean;
  /** The pools that may run the service now, the best one first. */
  candidatePools(service: ServiceName, nowMs: number): PoolId[];
}
