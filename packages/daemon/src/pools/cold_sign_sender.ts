/**
 * Tells the members, this one included, that may own a pool, or use a share of it, that one of its
 * backend servers shows a cold start, so that none of them takes an older sign
 * of warmth for the latest.
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

/** Sends only what the warmth log doesn't know yet. */
export class ColdSignSender {
  readonly #options: ColdSignOptions;

  constructor(options: ColdSignOptions) {
    this.#options = options;
  }

  send(pool: PoolId, server: BackendServerId, nowMs: number): void {
    const { context, link, warmUpState } = this.#options;
    const wasCold = warmUpState.of(server)?.warmUpState === "cold";
    warmUpState.note(server, { warmUpState: "cold", seenAtMs: nowMs });
    if (wasCold) return;
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
