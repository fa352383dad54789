/**
 * Finds the prompt parts that crash servers, and refuses requests with them.
 *
 * @module
 */

import type { AttemptId, PromptPartId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { TakePoisonPartNews } from "../peers/heartbeat_content.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { CallObservation } from "./call_observation.js";
import type { PartBlocks } from "./part_blocks.js";

export interface PoisonPartsOptions {
  readonly network: PeerNetwork & {
    setPoisonPartNews(take: TakePoisonPartNews): void;
  };
  readonly blocks: PartBlocks;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Whether a request may be sent to a server. */
export type Admission =
  | { readonly kind: "admitted" }
  /** Sent to find out whether the blocked part still crashes servers. */
  | { readonly kind: "probe"; readonly part: PromptPartId }
  | {
    readonly kind: "refused";
    readonly part: PromptPartId;
    readonly retryAfterMs: number;
  };

/** A call that is about to be sent to a server. */
export interface ObservedCall {
  readonly request: AttemptId;
  readonly server: RegisteredServer;
  /** See `suspectableParts`. */
  readonly parts: readonly PromptPartId[];
}

export class PoisonParts {
  constructor(_options: PoisonPartsOptions) {
    // Filled in by the next commit.
  }

  /**
   * Decides whether a request may be sent to a server; called right before each
   * call. Refusals are logged and counted.
   */
  admit(_request: AttemptId, _parts: readonly PromptPartId[]): Admission {
    return { kind: "admitted" };
  }

  /** Begins to observe a call; exactly one method must end the observation. */
  observe(_call: ObservedCall): CallObservation {
    return {
      recordEvent: () => undefined,
      recordComplete: () => undefined,
      recordCrash: () => undefined,
      end: () => undefined,
    };
  }

  /**
   * Whether a request may be sent to another server after one has crashed under
   * it: all its parts must have been found sound recently.
   */
  mayRetry(_parts: readonly PromptPartId[]): boolean {
    return true;
  }
}
