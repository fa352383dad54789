/**
 * Makes batched stage calls, and records which servers this VM reaches.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type {
  BatchCall,
  BatchCaller,
  BatchCallResult,
} from "../stage_graphs/batch_caller.js";
import type { ServerNotice } from "../register/server_notice.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { StageCallOutcome } from "../stage_graphs/stage_call.js";
import type { CallSilence } from "./call_silence.js";
import type { ServerReach } from "./server_reach.js";

export interface ObservedBatchCallerOptions {
  readonly caller: BatchCaller;
  readonly reach: ServerReach;
  readonly silence: CallSilence;
  readonly clock: Clock;
}

export class ObservedBatchCaller implements BatchCaller {
  readonly #options: ObservedBatchCallerOptions;

  constructor(options: ObservedBatchCallerOptions) {
    this.#options = options;
  }

  async runItems(call: BatchCall): Promise<BatchCallResult> {
    const { caller, silence, clock } = this.#options;
    const open = silence.recordStart(call.server, clock.nowMs());
    const result = await caller.runItems(call);
    open.end();
    this.#record(call.server, result.outcome, () => {
      open.recordData(clock.nowMs());
    });
    return result;
  }

  freeResults(
    server: RegisteredServer,
    references: readonly string[],
  ): Promise<ServerNotice> {
    return this.#options.caller.freeResults(server, references);
  }

  #record(
    server: RegisteredServer,
    outcome: StageCallOutcome,
    recordData: () => void,
  ): void {
    const { reach } = this.#options;
    if (outcome.kind === "unknown") return;
    if (outcome.kind === "notRun") {
      if (outcome.reason === "notAllowed") return;
      if (outcome.reason === "notConnected") {
        reach.recordFailedConnection(server, outcome.reason);
        return;
      }
    }
    recordData();
    reach.recordResponse(server);
  }
}
