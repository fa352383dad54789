/**
 * The options of an owned pool and the events that it reports.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  PermitId,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { PermitDecision } from "@sassafrasstage/protocol/permits";
import type { GrantRights } from "./grant_rights.js";
import type { LatencyBaselines } from "./latency_baseline.js";
import type { PoolEntry } from "./pool_layout.js";
import type { QueueOrderName } from "./queue_order.js";
import type { StateChange } from "./state_change.js";

export type OwnedPoolEvent =
  | "permitGranted"
  | "permitExpired"
  | "permitRefused"
  | "unknownPermitReleased";

export interface OwnedPoolOptions {
  readonly entry: PoolEntry;
  readonly queueOrder: QueueOrderName;
  readonly hasPrefixAffinity: boolean;
  readonly maxQueueLength: number;
  readonly maxQueueAgeMs: number;
  /** The expected time until anything can be granted. */
  readonly withheldForMs: (nowMs: number) => number;
  readonly baselines: LatencyBaselines;
  readonly nextPermitId: () => PermitId;
  readonly rightsAt: (nowMs: number) => GrantRights;
  readonly decide: (
    to: VmId,
    attemptId: AttemptId,
    decision: PermitDecision,
  ) => void;
  /** Whether the VM's process is known to have ended. */
  readonly isGone: (vmId: VmId) => boolean;
  readonly onCooled: (server: BackendServerId, nowMs: number) => void;
  readonly onStateChanged: (change: StateChange) => void;
  readonly onEvent: (event: OwnedPoolEvent) => void;
}
