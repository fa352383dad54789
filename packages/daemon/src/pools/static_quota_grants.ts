/**
 * The permits that a permit client may grant itself while its pool's owner is
 * silent: this VM's fixed share of the warm limits, and nothing of the cold
 * ones.
 *
 * @module
 */

import {
  type PermitId,
  poolKey,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { OutstandingReplyMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Permit, PermitRequest } from "@sassafrasstage/protocol/permits";
import type { BackendServer } from "@sassafrasstage/protocol/register";
import { UNSOLICITED_REQUEST_NUMBER } from "./cold_start_notifier.js";
import { warmShareOf } from "./grant_rights.js";
import type { HeldPermits } from "./held_permits.js";
import type { PendingRequest } from "./pending_request.js";
import type { PermitLink } from "./permit_link.js";
import type { PoolContext } from "./pool_context.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";
import type { WarmUpTracker } from "./warm_up_tracker.js";

/** Heartbeat intervals without a message before an owner counts as silent. */
const OWNER_SILENCE_INTERVALS = 2.5;

export interface StaticQuotaOptions {
  readonly context: PoolContext;
  readonly held: HeldPermits;
  readonly link: PermitLink;
  readonly warmUpTracker: WarmUpTracker;
}

/** Grants only for pools of this daemon's own data centre. */
export class StaticQuotaGrants {
  readonly #options: StaticQuotaOptions;
  readonly #lastHeardAtMs = new Map<VmId, number>();
  #permitNumber = 0;

  constructor(options: StaticQuotaOptions) {
    this.#options = options;
  }

  recordHeard(from: VmId, nowMs: number): void {
    this.#lastHeardAtMs.set(from, nowMs);
  }

  /**
   * Whether the owner has been silent for too long, counted at the earliest
   * from when it became the owner for this permit request.
   */
  isOwnerSilent(pending: PendingRequest, nowMs: number): boolean {
    const { context } = this.#options;
    const { owner, ownerSinceMs } = pending;
    if (owner === context.self.vmId) return false;
    const intervalMs = context.settings.peers.heartbeat_interval_ms;
    const lastHeardAtMs = owner === undefined
      ? ownerSinceMs
      : this.#lastHeardAtMs.get(owner) ?? ownerSinceMs;
    const sinceMs = Math.max(lastHeardAtMs, ownerSinceMs);
    return nowMs - sinceMs > OWNER_SILENCE_INTERVALS * intervalMs;
  }

  /**
   * Tells an owner which permits were granted without it. An owner that was
   * silent for less than its lease still grants, and asks nobody.
   */
  reportTo(owner: VmId, nowMs: number): void {
    const { context, held } = this.#options;
    for (const pool of held.staticQuotaPools()) {
      if (context.ownerOf(pool) !== owner) continue;
      this.#report(owner, { pool, permits: held.outstanding(pool, nowMs) });
    }
  }

  /** Tells the silent owner of the permit; it reads this when it resumes. */
  reportGrant(owner: VmId, permit: Permit, remainingMs: number): void {
    const permits = [{ permit, remainingMs }];
    this.#report(owner, { pool: permit.pool, permits });
  }

  grant(permitRequest: PermitRequest, nowMs: number): Permit | undefined {
    const { context } = this.#options;
    if (permitRequest.pool.dataCentre !== context.self.dataCentre) {
      return undefined;
    }
    if (!context.isConfigurationConfirmed(nowMs)) return undefined;
    const entry = context.layout().pools.get(poolKey(permitRequest.pool));
    if (entry === undefined) return undefined;
    const server = entry.servers.find((candidate) =>
      !permitRequest.excluded.includes(candidate.id) &&
      this.#mayGrantAt(entry, candidate, nowMs)
    );
    if (server === undefined) return undefined;
    this.#permitNumber += 1;
    const { vmId, incarnation } = context.self;
    return {
      permitId: toId<PermitId>(
        `${vmId}/${incarnation}/staticQuota-${this.#permitNumber}`,
      ),
      attemptId: permitRequest.attemptId,
      pool: permitRequest.pool,
      backendServerId: server.id,
      warmUpState: "warm",
    };
  }

  #report(
    owner: VmId,
    report: Pick<OutstandingReplyMessage, "pool" | "permits">,
  ): void {
    this.#options.link.send(owner, {
      type: "outstandingReply",
      requestNumber: UNSOLICITED_REQUEST_NUMBER,
      observations: [],
      ...report,
    });
  }

  #mayGrantAt(entry: PoolEntry, server: BackendServer, nowMs: number): boolean {
    const { context, held, warmUpTracker } = this.#options;
    const layout = context.layout();
    if (availabilityOf(server, layout, context.vms()) !== "inService") {
      return false;
    }
    const record = warmUpTracker.get(server.id);
    if (record?.warmUpState !== "warm") return false;
    if (nowMs - record.seenAtMs >= entry.service.coldAfterIdleMs) return false;
    const limited = {
      backendServerId: server.id,
      limit: entry.service.warmLimit,
    };
    const share = warmShareOf(limited, context.warmShare());
    return held.staticQuotaGrantsAt(server.id) < share;
  }
}
