/**
 * What a permit client may grant itself while its pool's owner is silent: this VM's
 * fixed part of the warm limits, and nothing of the cold ones.
 *
 * @module
 */

import {
  type PermitId,
  poolKey,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { Permit, PermitRequest } from "@sassafrasstage/protocol/permits";
import type { BackendServer } from "@sassafrasstage/protocol/register";
import { warmShareOf } from "./grant_rights.js";
import type { HeldPermits } from "./held_permits.js";
import type { PendingRequest } from "./pending_request.js";
import type { PoolContext } from "./pool_context.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";
import type { WarmUpLog } from "./warm_up_log.js";

/** Heartbeat intervals without a word after which an owner counts as silent. */
const SILENT_INTERVALS = 2.5;

export interface StaticQuotaOptions {
  readonly context: PoolContext;
  readonly held: HeldPermits;
  readonly warmUpState: WarmUpLog;
}

/** Only for pools of the own data centre. */
export class StaticQuotaGrants {
  readonly #options: StaticQuotaOptions;
  readonly #heardAtMs = new Map<VmId, number>();
  #permitNumber = 0;

  constructor(options: StaticQuotaOptions) {
    this.#options = options;
  }

  noteHeard(from: VmId, nowMs: number): void {
    this.#heardAtMs.set(from, nowMs);
  }

  /** Whether neither the owner nor this permit request has had a word for too long. */
  isOwnerSilent(pending: PendingRequest, nowMs: number): boolean {
    const { context } = this.#options;
    const { owner, ownerSinceMs } = pending;
    if (owner === context.self.vmId) return false;
    const intervalMs = context.settings.peers.heartbeat_interval_ms;
    const heardAtMs = owner === undefined
      ? ownerSinceMs
      : this.#heardAtMs.get(owner) ?? ownerSinceMs;
    const sinceMs = Math.max(heardAtMs, ownerSinceMs);
    return nowMs - sinceMs > SILENT_INTERVALS * intervalMs;
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
      this.#hasRoom(entry, candidate, nowMs)
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

  #hasRoom(entry: PoolEntry, server: BackendServer, nowMs: number): boolean {
    const { context, held, warmUpState } = this.#options;
    const layout = context.layout();
    if (availabilityOf(server, layout, context.vms()) !== "inService") {
      return false;
    }
    const sign = warmUpState.of(server.id);
    if (sign?.warmUpState !== "warm") return false;
    if (nowMs - sign.seenAtMs >= entry.service.coldAfterIdleMs) return false;
    const limited = {
      backendServerId: server.id,
      limit: entry.service.warmLimit,
    };
    const share = warmShareOf(limited, context.warmShare());
    return held.staticQuotaGrantsAt(server.id) < share;
  }
}
