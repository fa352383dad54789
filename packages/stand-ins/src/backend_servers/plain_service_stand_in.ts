/**
 * A stand-in for a plain service: encoder, retriever, reranker, and services
 * with operations that may not be repeated.
 *
 * @module
 */

import {
  headerOf,
  type HttpRequest,
  type HttpResponse,
  readJson,
  sendJson,
  StandInServer,
  urlOf,
} from "../http/stand_in_server.js";
import {
  answerUnavailable,
  BackendServerCore,
  type BackendServerFaults,
  type BackendServerRecord,
  type Call,
  type CoreOptions,
  interrupt,
} from "./backend_server_core.js";
import { Batch } from "./batch.js";
import {
  expectedPlainOutput,
  findMarker,
  type PlainOutput,
} from "./expected_output.js";
import { endRun } from "./run_log.js";

export interface PlainServiceOptions extends CoreOptions {
  /** Told apart in the numbers that non-idempotent operations hand out. */
  readonly name?: string;
  readonly workMs?: number;
  /** Added to the work time, evenly spread from 0. */
  readonly jitterMs?: number;
  /** Calls that run at once while the others wait; all of them by default. */
  readonly concurrency?: number;
  /** Operations that hand out a new number on every run. */
  readonly nonIdempotentOperations?: readonly string[];
}

/** The output of a non-idempotent operation. */
export interface NumberedOutput extends PlainOutput {
  readonly number: string;
}

interface PlainAnswer {
  readonly requestId: string;
  readonly output: PlainOutput | NumberedOutput;
}

const DEFAULT_WORK_MS = 5;
const DEFAULT_NON_IDEMPOTENT = ["issue", "reserve"];
const PATH_PREFIX = "/v1/";

/**
 * One plain service, in this process. A call whose caller goes away is
 * canceled, unless its operation is non-idempotent: that one runs to the end.
 *
 * @example
 * ```ts
 * const registry = new PlainServiceStandIn({ name: "registry-1" });
 * await registry.start();
 * ```
 */
export class PlainServiceStandIn {
  readonly #core: BackendServerCore;
  readonly #name: string;
  readonly #workMs: number;
  readonly #jitterMs: number;
  readonly #running: Batch;
  readonly #nonIdempotentOperations: ReadonlySet<string>;
  readonly #server: StandInServer;
  #lastNumber = 0;
  #lastAnswer: PlainAnswer | undefined;

  constructor(options: PlainServiceOptions = {}) {
    this.#core = new BackendServerCore(options);
    this.#name = options.name ?? "plain";
    this.#workMs = options.workMs ?? DEFAULT_WORK_MS;
    this.#jitterMs = options.jitterMs ?? 0;
    this.#running = new Batch(options.concurrency ?? Infinity);
    this.#nonIdempotentOperations = new Set(
      options.nonIdempotentOperations ?? DEFAULT_NON_IDEMPOTENT,
    );
    this.#server = new StandInServer({
      control: this.#core.controlRoutes(() => this.#server),
      data: [{
        method: "post",
        path: `${PATH_PREFIX}*`,
        handler: (request, response) => this.#answer(request, response),
      }],
    });
  }

  get url(): string {
    return this.#server.url;
  }

  get controlUrl(): string {
    return this.#server.controlUrl;
  }

  async start(): Promise<void> {
    await this.#server.start();
    this.#core.startLoadReports();
  }

  async stop(): Promise<void> {
    this.#core.stopLoadReports();
    await this.#server.stop();
  }

  setFaults(faults: Partial<BackendServerFaults>): Promise<void> {
    return this.#core.setFaults(faults, this.#server);
  }

  turnCold(): void {
    this.#core.turnCold();
  }

  record(): BackendServerRecord {
    return this.#core.record();
  }

  async #answer(request: HttpRequest, response: HttpResponse): Promise<void> {
    const operation = urlOf(request).pathname.slice(PATH_PREFIX.length);
    const { input } = (await readJson(request)) as { input: unknown };
    const idempotencyKey = headerOf(request, "idempotency-key");
    const marker = findMarker(input ?? null);
    const call = this.#core.admit(response, () => ({
      requestId: headerOf(request, "x-request-id") ?? "",
      operation,
      arrivedAtMs: Date.now(),
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      ...(marker === undefined ? {} : { marker }),
    }));
    if (call === undefined) return;
    if (!this.#nonIdempotentOperations.has(operation)) {
      response.once("close", () => {
        if (!response.writableFinished) interrupt(call, "disconnected");
      });
    }
    await this.#run(call, { response, input });
  }

  async #run(
    call: Call,
    exchange: { readonly response: HttpResponse; readonly input: unknown },
  ): Promise<void> {
    const { response, input } = exchange;
    try {
      const output = this.#makeOutput(call, input);
      await this.#work(call);
      const own = { requestId: call.entry.requestId, output };
      const answer = this.#chooseAnswer(own);
      if (this.#core.random.isHit(this.#core.faults.breakRatio)) {
        throw new Error("Broken by fault");
      }
      sendJson(response, {
        status: 200,
        headers: { "x-request-id": answer.requestId },
        body: answer,
      });
      endRun(call.entry, "completed");
    } catch {
      const isDisconnected = call.abort.signal.reason === "disconnected";
      endRun(call.entry, isDisconnected ? "canceled" : "failed");
      answerUnavailable(response, "failed");
    } finally {
      this.#core.finish(call);
    }
  }

  /** A non-idempotent operation takes effect at once, before its answer. */
  #makeOutput(call: Call, input: unknown): PlainOutput | NumberedOutput {
    const { operation } = call.entry;
    const output = expectedPlainOutput(operation, input ?? null);
    if (!this.#nonIdempotentOperations.has(operation)) return output;
    this.#lastNumber++;
    const number = `${this.#name}-${this.#lastNumber}`;
    call.entry.number = number;
    return { ...output, number };
  }

  async #work(call: Call): Promise<void> {
    const jitterMs = this.#jitterMs * this.#core.random.nextFloat();
    const durationMs = this.#workMs + jitterMs;
    const isFailing = this.#core.random.isHit(this.#core.faults.failRatio);
    await this.#running.enter(0, call.abort.signal);
    try {
      await this.#core.work(call, isFailing ? durationMs / 2 : durationMs);
    } finally {
      this.#running.leave();
    }
    if (isFailing) throw new Error("Failed by fault");
  }

  #chooseAnswer(own: PlainAnswer): PlainAnswer {
    const other = this.#lastAnswer;
    this.#lastAnswer = own;
    const isWrong = this.#core.random.isHit(this.#core.faults.wrongEchoRatio);
    return isWrong && other !== undefined ? other : own;
  }
}
