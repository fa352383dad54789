/**
 * Records from batched stage calls which servers this VM reaches.
 *
 * @module
 */

import type {
  BatchCall,
  BatchCaller,
  BatchCallResult,
} from "../stage_graphs/batch_caller.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { StageCallOutcome } from "../stage_graphs/stage_call.js";
import type { ServerReach } from "./server_reach.js";

export class ObservedBatchCaller implements BatchCaller {
  readonly #caller: BatchCaller;
  readonly #reach: ServerReach;

  constructor(caller: BatchCaller, reach: ServerReach) {
    this.#caller = caller;
    this.#reach = reach;
  }

  async runItems(call: BatchCall): Promise<BatchCallResult> {
    const result = await this.#caller.runItems(call);
    this.#record(call.server, result.outcome);
    return result;
  }

  freeResults(
    server: RegisteredServer,
    references: readonly string[],
  ): Promise<void> {
    return this.#caller.freeResults(server, references);
  }

  #record(server: RegisteredServer, outcome: StageCallOutcome): void {
    switch (outcome.kind) {
      case "answered":
        this.#reach.recordReached(server);
        return;
      case "notRun":
        if (outcome.reason === "notConnected") {
          this.#reach.recordFailedConnection(server, outcome.reason);
        } else this.#reach.recordReached(server);
        return;
      case "unknown":
        return;
    }
  }
}
