/**
 * Notifies all members of a pool's data centre, this one included, that one of
 * the pool's backend servers shows a cold start. Any of them may own the pool
 * or use a share of its limits, and must not rely on an older observation that
 * the server was warm.
 *
 * @module
 */

import type { BackendServerId, PoolId } from "@sassafrasstage/protocol/ids";
import type { PermitLink } from "./permit_link.js";
import type { PoolContext } from "./pool_context.js";
import type { WarmUpTracker } from "./warm_up_tracker.js";

/** Request number of an `outstandingReply` that answers no request. */
export const UNSOLICITED_REQUEST_NUMBER = 0;

export interface ColdStartNotifierOptions {
  readonly context: PoolContext;
  readonly link: PermitLink;
  readonly warmUpTracker: WarmUpTracker;
}

/** Cold starts noticed at one server within this time count as the same one. */
const MIN_NOTIFICATION_INTERVAL_MS = 100;

/**
 * Sends one notification for each cold start. An earlier cold start in this
 * daemon's own records doesn't suppress it, since other daemons may have seen
 * the server warm in between.
 */
export class ColdStartNotifier {
  readonly #options: ColdStartNotifierOptions;
  readonly #notifiedAtMs = new Map<BackendServerId, number>();

  constructor(options: ColdStartNotifierOptions) {
    this.#options = options;
  }

  notify(pool: PoolId, server: BackendServerId, nowMs: number): void {
    const { context, link, warmUpTracker } = this.#options;
    warmUpTracker.recordIfNewer(server, {
      warmUpState: "cold",
      seenAtMs: nowMs,
    });
    const notifiedAtMs = this.#notifiedAtMs.get(server) ?? -Infinity;
    if (nowMs < notifiedAtMs + MIN_NOTIFICATION_INTERVAL_MS) return;
    this.#notifiedAtMs.set(server, nowMs);
    for (const member of context.members) {
      if (member.dataCentre !== pool.dataCentre) continue;
      link.send(member.vmId, {
        type: "outstandingReply",
        pool,
        requestNumber: UNSOLICITED_REQUEST_NUMBER,
        permits: [],
        observations: warmUpTracker.observations([server], nowMs),
      });
    }
  }
}
