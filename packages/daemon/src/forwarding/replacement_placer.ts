/**
 * Places the replacements of silent calls.
 *
 * @module
 */

import { pollSockets } from "../http/poll_sockets.js";
import type { ServerCandidate } from "../placement/choose_server.js";
import type { ForwardContext } from "./forward_context.js";
import { prepareInputs } from "./prepare_inputs.js";
import {
  decideReplacement,
  type ReplacementDecision,
} from "./replacement_policy.js";
import { mayRetryAfterCrash, refusePoisonPart } from "./refuse_poison_part.js";
import type { AttemptInput } from "./attempt_input.js";
import type { ReplacementSource } from "./stream_relay.js";
import {
  beginRun,
  isResumable,
  spendRetry,
  type StreamState,
  toPlacement,
} from "./stream_state.js";

export class ReplacementPlacer implements ReplacementSource {
  readonly #context: ForwardContext;
  readonly #state: StreamState;

  constructor(context: ForwardContext, state: StreamState) {
    this.#context = context;
    this.#state = state;
  }

  decide(lastReceivedAtMs: number, nowMs: number): ReplacementDecision {
    const { environment, route, service } = this.#context;
    return decideReplacement({
      lastReceivedAtMs,
      isResumable: isResumable(this.#context),
      runs: this.#state.runs,
      maxAttempts: route.maxAttempts,
      refusals: this.#state.refusals,
      hasServer: () => this.#hasServer(nowMs),
      hasRetry: () =>
        environment.directory.retryBudgetOf(service).hasRetry(nowMs),
    }, nowMs);
  }

  /** Whether there is a server that isn't known to be busy or unreachable. */
  #hasServer(nowMs: number): boolean {
    const health = this.#context.environment.directory
      .preview(toPlacement(this.#context, this.#state), nowMs)?.health;
    return health !== undefined && !health.isSuspended(nowMs);
  }

  /** Spends a retry only once everything else that a call needs is there. */
  async place(
    signal: AbortSignal,
    start: (attempt: AttemptInput) => void,
  ): Promise<void> {
    if (!await this.#ensureInputs(signal)) return;
    // The client's disconnect or the stream's next event may have arrived.
    await pollSockets();
    const candidate = await this.#assign(signal);
    if (candidate === undefined) return;
    if (!this.#mayStart(signal)) {
      candidate.permit?.giveBack();
      return;
    }
    const { metrics } = this.#context.environment;
    metrics.countRetry(this.#context.service, "streamSilent");
    start(beginRun(this.#context, this.#state, candidate));
  }

  /** Spends a retry unless the replacement isn't needed or allowed any more. */
  #mayStart(signal: AbortSignal): boolean {
    if (signal.aborted) return false;
    if (!this.#maySend()) {
      this.#state.refusals += 1;
      return false;
    }
    return spendRetry(this.#context);
  }

  /** False for a request with a part that may crash the server. */
  #maySend(): boolean {
    if (this.#state.hasCrashedServer && !mayRetryAfterCrash(this.#context)) {
      return false;
    }
    return refusePoisonPart(this.#context) === undefined;
  }

  async #assign(signal: AbortSignal): Promise<ServerCandidate | undefined> {
    if (signal.aborted) return undefined;
    return this.#context.environment.directory.assign(
      toPlacement(this.#context, this.#state),
    );
  }

  /** Returns false if the inputs can't be had or aren't needed any more. */
  async #ensureInputs(signal: AbortSignal): Promise<boolean> {
    const state = this.#state;
    if (state.inputs !== undefined) return true;
    const result = await prepareInputs(this.#context, {
      relativeSize: state.relativeSize,
      softwareVersion: state.softwareVersion,
      signal,
    });
    if (result.kind === "refused") state.refusals += 1;
    if (result.kind !== "prepared") return false;
    if (signal.aborted) {
      result.inputs.release();
      return false;
    }
    state.inputs = result.inputs;
    return true;
  }
}
