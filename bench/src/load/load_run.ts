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
import { type BalancedVm, Balancer } from "./balancer.js";
import type { LoadOutcome, LoadRecord, TokenTimes } from "./load_record.js";
import {
  callPipeline,
  type PipelineCall,
  type PipelineReply,
} from "./pipeline_call.js";

/** How long a caller waits past its deadline. */
const CALLER_PATIENCE_MS = 3000;
const MAX_CONNECTIONS_PER_VM = 2048;
const MAX_CONNECT_TRIES = 3;

export interface LoadTarget {
  readonly vms: readonly BalancedVm[];
  readonly pipelines: readonly Pipeline[];
  /** The bearer key of a client account. */
  keyOf(clientAccount: string): string;
  /** The input of a request; unlike that of every other request. */
  inputOf(arrival: Arrival): unknown;
  /** Whether an output is the one that this input must give. */
  isExpectedOutput(
    pipeline: Pipeline,
    exchange: { readonly input: unknown; readonly output: unknown },
  ): boolean;
}

export interface LoadRunOptions {
  readonly seed: number;
  /** Called as the clock of the run starts. */
  readonly onStart?: () => void;
}

/**
 * Sends each arrival at its time and waits for the last answer.
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
  readonly #balancer: Balancer;
  readonly #pipelines: ReadonlyMap<string, Pipeline>;
  #startedAtMs = 0;

  constructor(target: LoadTarget, seed: number) {
    this.#target = target;
    this.#seed = seed;
    this.#balancer = new Balancer(target.vms, this.#agent);
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
    const tokens = new TokenClock(intendedAtMs);
    const sent = await this.#exchange({ arrival, pipeline, tokens });
    const latencyMs = performance.now() - intendedAtMs;
    const tokenTimes = tokens.times();
    return {
      serial: arrival.serial,
      sendDelayMs,
      atMs: arrival.atMs,
      pipeline: pipeline.name,
      urgency: pipeline.urgency,
      clientAccount: arrival.clientAccount,
      vmId: sent.vmId,
      latencyMs,
      isWithinDeadline: sent.outcome.kind === "answered" &&
        latencyMs <= pipeline.deadlineMs,
      outcome: sent.outcome,
      ...(tokenTimes === undefined ? {} : { tokenTimes }),
    };
  }

  async #exchange(request: Exchange): Promise<Sent> {
    const input = this.#target.inputOf(request.arrival);
    let detail = "No entry VM was ready";
    for (let tries = 0; tries < MAX_CONNECT_TRIES; tries += 1) {
      const vm = this.#balancer.choose();
      if (vm === undefined) break;
      try {
        const reply = await this.#call(vm, request, input);
        return {
          vmId: vm.vmId,
          outcome: this.#judge(reply, request.pipeline, input),
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
    vm: BalancedVm,
    request: Exchange,
    input: unknown,
  ): Promise<PipelineReply> {
    const { arrival, pipeline, tokens } = request;
    const call: PipelineCall = {
      baseUrl: vm.baseUrl,
      pipeline: pipeline.name,
      key: this.#target.keyOf(arrival.clientAccount),
      input,
      deadlineMs: pipeline.deadlineMs,
      stream: isStreamed(pipeline),
      onToken: () => {
        tokens.tick();
      },
      ...(isIdempotent(pipeline)
        ? {}
        : { idempotencyKey: `${this.#seed}-${arrival.serial}` }),
    };
    const timeoutMs = pipeline.deadlineMs + CALLER_PATIENCE_MS;
    return callPipeline(call, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
  }

  #judge(
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

interface Exchange {
  readonly arrival: Arrival;
  readonly pipeline: Pipeline;
  readonly tokens: TokenClock;
}

interface Sent {
  readonly vmId: string;
  readonly outcome: LoadOutcome;
}

/** Notes when the tokens of one streamed answer came. */
class TokenClock {
  readonly #startMs: number;
  readonly #atMs: number[] = [];

  constructor(startMs: number) {
    this.#startMs = startMs;
  }

  tick(): void {
    this.#atMs.push(performance.now());
  }

  times(): TokenTimes | undefined {
    const first = this.#atMs[0];
    if (first === undefined) return undefined;
    const gapsMs = this.#atMs.slice(1)
      .map((atMs, index) => atMs - (this.#atMs[index] ?? atMs));
    return { firstMs: first - this.#startMs, gapsMs };
  }
}

function isIdempotent(pipeline: Pipeline): boolean {
  return pipeline.stages.every((stage) => stage.idempotent);
}

/** Streams where the last stage is a model's. */
function isStreamed(pipeline: Pipeline): boolean {
  return pipeline.stages.at(-1)?.operation === "completions";
}

function isConnectError(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    (error.code === "ECONNREFUSED" || error.code === "UND_ERR_CONNECT_TIMEOUT");
}
