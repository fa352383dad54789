/**
 * What an asker may grant itself while its pool's owner is silent: this VM's
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
import type { Permit, PermitAsk } from "@sassafrasstage/protocol/permits";
import type { BackendServer } from "@sassafrasstage/protocol/register";
import { warmShareOf } from "./grant_rights.js";
import type { HeldPermits } from "./held_permits.js";
import type { PendingAsk } from "./pending_ask.js";
import type { PoolContext } from "./pool_context.js";
import { availabilityOf, type PoolEntry } from "./pool_layout.js";
import type { WarmthLog } from "./warmth_log.js";

/** Heartbeat intervals without a word after which an owner counts as silent. */
const SILENT_INTERVALS = 2.5;

export interface FallbackOptions {
  readonly context: PoolContext;
  readonly held: HeldPermits;
  readonly warmth: WarmthLog;
}

/** Only for pools of the own data centre. */
export class FallbackGrants {
  readonly #options: FallbackOptions;
  readonly #heardAtMs = new Map<VmId, number>();
  #permitNumber = 0;

  constructor(options: FallbackOptions) {
    this.#options = options;
  }

  noteHeard(from: VmId, nowMs: number): void {
    this.#heardAtMs.set(from, nowMs);
  }

  /** Whether neither the owner nor this ask has had a word for too long. */
  isOwnerSilent(pending: PendingAsk, nowMs: number): boolean {
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

  grant(ask: PermitAsk, nowMs: number): Permit | undefined {
    const { context } = this.#options;
    if (ask.pool.dataCentre !== context.self.dataCentre) return undefined;
    if (!context.isConfigurationConfirmed(nowMs)) return undefined;
    const entry = context.layout().pools.get(poolKey(ask.pool));
    if (entry === undefined) return undefined;
    const server = entry.servers.find((candidate) =>
      !ask.excluded.includes(candidate.id) &&
      this.#hasRoom(entry, candidate, nowMs)
    );
    if (server === undefined) return undefined;
    this.#permitNumber += 1;
    const { vmId, incarnation } = context.self;
    return {
      permitId: toId<PermitId>(
        `${vmId}/${incarnation}/fallback-${this.#permitNumber}`,
      ),
      attemptId: ask.attemptId,
      pool: ask.pool,
      backendServerId: server.id,
      warmth: "warm",
    };
  }

  #hasRoom(entry: PoolEntry, server: BackendServer, nowMs: number): boolean {
    const { context, held, warmth } = this.#options;
    const layout = context.layout();
    if (availabilityOf(server, layout, context.vms()) !== "inService") {
      return false;
    }
    const sign = warmth.of(server.id);
    if (sign?.warmth !== "warm") return false;
    if (nowMs - sign.seenAtMs >= entry.service.coldAfterIdleMs) return false;
    const limited = {
      backendServerId: server.id,
      limit: entry.service.warmLimit,
    };
    const share = warmShareOf(limited, context.warmShare());
    return held.fallbacksAt(server.id) < share;
  }
}
