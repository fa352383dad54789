/**
 * Tells the members, this one included, that may own a pool, or use a share of
 * it, that one of its backend servers shows a cold start, so that none of them
 * takes an older sign of a warm server for the latest.
 *
 * @module
 */

import type { BackendServerId, PoolId } from "@sassafrasstage/protocol/ids";
import type { PermitLink } from "./permit_link.js";
import type { PoolContext } from "./pool_context.js";
import type { WarmUpLog } from "./warm_up_log.js";

/** An `outstandingReply` with this number answers no request. */
const UNASKED = 0;

export interface ColdSignOptions {
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly warmUpState: WarmUpLog;
}

/** The calls that fail together at one server show the same cold start. */
const RESEND_AFTER_MS = 100;

/**
 * Sends each cold start once. An older sign in this daemon's own log is no
 * reason to keep silent: others may have seen the server warm since then.
 */
export class ColdSignSender {
  readonly #options: ColdSignOptions;
  readonly #sentAtMs = new Map<BackendServerId, number>();

  constructor(options: ColdSignOptions) {
    this.#options = options;
  }

  send(pool: PoolId, server: BackendServerId, nowMs: number): void {
    const { context, link, warmUpState } = this.#options;
    warmUpState.note(server, { warmUpState: "cold", seenAtMs: nowMs });
    const sentAtMs = this.#sentAtMs.get(server) ?? -Infinity;
    if (nowMs < sentAtMs + RESEND_AFTER_MS) return;
    this.#sentAtMs.set(server, nowMs);
    for (const member of context.members) {
      if (member.dataCentre !== pool.dataCentre) continue;
      link.send(member.vmId, {
        type: "outstandingReply",
        pool,
        requestNumber: UNASKED,
        permits: [],
        observations: warmUpState.observations([server], nowMs),
      });
    }
  }
}
