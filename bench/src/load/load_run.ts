/**
 * Runs an open-loop load against the entry VMs and records each request.
 *
 * @module
 */

import type { PipelineName } from "@sassafrasstage/protocol/ids";
import type { Pipeline } from "@sassafrasstage/protocol/rules";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { Arrival } from "./arrivals.js";
import { LoadBalancer, type VmEndpoint } from "./load_balancer.js";
import type { LoadOutcome, LoadRecord, TokenTimes } from "./load_record.js";
import {
  callPipeline,
  type PipelineCall,
  type PipelineReply,
} from "./pipeline_call.js";

/** How long a caller waits after its deadline before it times out. */
const CALLER_TIMEOUT_MARGIN_MS = 3000;
const MAX_CONNECTIONS_PER_VM = 2048;
const MAX_CONNECT_ATTEMPTS = 3;

export interface LoadTarget {
  readonly vms: readonly VmEndpoint[];
  readonly pipelines: readonly Pipeline[];
  /** The bearer key of a client account. */
  keyOf(clientAccount: string): string;
  /** The input of a request, unique to that request. */
  inputOf(arrival: Arrival): unknown;
  /** Whether the output is the one expected for the input. */
  isExpectedOutput(
    pipeline: Pipeline,
    exchange: { readonly input: unknown; readonly output: unknown },
  ): boolean;
}

export interface LoadRunOptions {
  readonly seed: number;
  /** Called when the run starts, before the first request is sent. */
  readonly onStart?: () => void;
}

/**
 * Sends each request at its arrival time and waits for all results.
 *
 * @example
 * ```ts
 * const records = await runLoad(target, arrivals, { seed: 1 });
 * ```
 */
export async function runLoad(
  target: LoadTarget,
  arrivals: readonly Arrival[],
  options: LoadRunOptions,
): Promise<LoadRecord[]> {
  const run = new LoadRun(target, options.seed);
  try {
    await run.start();
    options.onStart?.();
    return await run.sendAll(arrivals);
  } finally {
    await run.stop();
  }
}

class LoadRun {
  readonly #target: LoadTarget;
  readonly #seed: number;
  readonly #agent = new Agent({
    connections: MAX_CONNECTIONS_PER_VM,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #balancer: LoadBalancer;
  readonly #pipelines: ReadonlyMap<string, Pipeline>;
  #startedAtMs = 0;

  constructor(target: LoadTarget, seed: number) {
    this.#target = target;
    this.#seed = seed;
    this.#balancer = new LoadBalancer(target.vms, this.#agent);
    this.#pipelines = new Map<PipelineName, Pipeline>(
      target.pipelines.map((pipeline) => [pipeline.name, pipeline]),
    );
  }

  async start(): Promise<void> {
    await this.#balancer.probe();
    this.#balancer.start();
    this.#startedAtMs = performance.now();
  }

  async stop(): Promise<void> {
    this.#balancer.stop();
    await this.#agent.destroy();
  }

  async sendAll(arrivals: readonly Arrival[]): Promise<LoadRecord[]> {
    const running: Promise<LoadRecord>[] = [];
    for (const arrival of arrivals) {
      const waitMs = this.#startedAtMs + arrival.atMs - performance.now();
      if (waitMs >= 1) await sleep(waitMs);
      running.push(this.#sendOne(arrival));
    }
    return Promise.all(running);
  }

  async #sendOne(arrival: Arrival): Promise<LoadRecord> {
    const pipeline = this.#pipelines.get(arrival.pipeline);
    if (pipeline === undefined) {
      throw new RangeError(`No pipeline is named "${arrival.pipeline}"`);
    }
    const intendedAtMs = this.#startedAtMs + arrival.atMs;
    const sendDelayMs = performance.now() - intendedAtMs;
    const tokenRecorder = new TokenTimeRecorder(intendedAtMs);
    const result = await this.#sendWithConnectRetries({
      arrival,
      pipeline,
      tokenRecorder,
    });
    const latencyMs = performance.now() - intendedAtMs;
    const tokenTimes = tokenRecorder.toTokenTimes();
    return {
      serial: arrival.serial,
      sendDelayMs,
      atMs: arrival.atMs,
      pipeline: pipeline.name,
      urgency: pipeline.urgency,
      clientAccount: arrival.clientAccount,
      vmId: result.vmId,
      latencyMs,
      isWithinDeadline: result.outcome.kind === "answered" &&
        latencyMs <= pipeline.deadlineMs,
      outcome: result.outcome,
      ...(tokenTimes === undefined ? {} : { tokenTimes }),
    };
  }

  async #sendWithConnectRetries(request: PendingRequest): Promise<SendResult> {
    const input = this.#target.inputOf(request.arrival);
    let detail = "No entry VM was ready";
    for (let attempts = 0; attempts < MAX_CONNECT_ATTEMPTS; attempts += 1) {
      const vm = this.#balancer.selectVm();
      if (vm === undefined) break;
      try {
        const reply = await this.#call(vm, request, input);
        return {
          vmId: vm.vmId,
          outcome: this.#toOutcome(reply, request.pipeline, input),
        };
      } catch (error) {
        detail = error instanceof Error ? error.message : String(error);
        if (!isConnectError(error)) {
          return { vmId: vm.vmId, outcome: { kind: "lost", detail } };
        }
        this.#balancer.markFailed(vm.vmId);
      }
    }
    return { vmId: "none", outcome: { kind: "lost", detail } };
  }

  #call(
    vm: VmEndpoint,
    request: PendingRequest,
    input: unknown,
  ): Promise<PipelineReply> {
    const { arrival, pipeline, tokenRecorder } = request;
    const call: PipelineCall = {
      baseUrl: vm.baseUrl,
      pipeline: pipeline.name,
      key: this.#target.keyOf(arrival.clientAccount),
      input,
      deadlineMs: pipeline.deadlineMs,
      stream: isStreamed(pipeline),
      onToken: () => {
        tokenRecorder.recordToken();
      },
      ...(isIdempotent(pipeline)
        ? {}
        : { idempotencyKey: `${this.#seed}-${arrival.serial}` }),
    };
    const timeoutMs = pipeline.deadlineMs + CALLER_TIMEOUT_MARGIN_MS;
    return callPipeline(call, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
  }

  #toOutcome(
    reply: PipelineReply,
    pipeline: Pipeline,
    input: unknown,
  ): LoadOutcome {
    if (reply.kind === "problem") {
      const { status, reason, notRun } = reply;
      return { kind: "refused", status, reason, notRun };
    }
    const { output } = reply;
    if (!this.#target.isExpectedOutput(pipeline, { input, output })) {
      const detail = JSON.stringify([output]).slice(0, 200);
      return { kind: "wrongAnswer", detail };
    }
    return { kind: "answered", totalMs: reply.totalMs, stages: reply.stages };
  }
}

interface PendingRequest {
  readonly arrival: Arrival;
  readonly pipeline: Pipeline;
  readonly tokenRecorder: TokenTimeRecorder;
}

interface SendResult {
  readonly vmId: string;
  readonly outcome: LoadOutcome;
}

/** Records the arrival times of the tokens of one streamed answer. */
class TokenTimeRecorder {
  readonly #startMs: number;
  readonly #tokenTimesMs: number[] = [];

  constructor(startMs: number) {
    this.#startMs = startMs;
  }

  recordToken(): void {
    this.#tokenTimesMs.push(performance.now());
  }

  toTokenTimes(): TokenTimes | undefined {
    const firstTokenAtMs = this.#tokenTimesMs[0];
    if (firstTokenAtMs === undefined) return undefined;
    const gapsMs = this.#tokenTimesMs.slice(1)
      .map((tokenTimeMs, index) =>
        tokenTimeMs - (this.#tokenTimesMs[index] ?? tokenTimeMs)
      );
    return { firstMs: firstTokenAtMs - this.#startMs, gapsMs };
  }
}

function isIdempotent(pipeline: Pipeline): boolean {
  return pipeline.stages.every((stage) => stage.idempotent);
}

/** Whether the answer is streamed: the last stage generates text. */
function isStreamed(pipeline: Pipeline): boolean {
  return pipeline.stages.at(-1)?.operation === "completions";
}

function isConnectError(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    (error.code === "ECONNREFUSED" || error.code === "UND_ERR_CONNECT_TIMEOUT");
}
