/**
 * A stand-in for a plain service, such as an encoder, a retriever, a reranker
 * or a service with non-idempotent operations.
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
  type AdmittedCall,
  answerUnavailable,
  BackendServerCore,
  type BackendServerFaults,
  type BackendServerRecord,
  type CoreOptions,
  interrupt,
} from "./backend_server_core.js";
import { PrioritySemaphore } from "./priority_semaphore.js";
import {
  expectedPlainOutput,
  findMarker,
  type PlainOutput,
} from "./expected_output.js";
import { endRun } from "./run_log.js";

export interface PlainServiceOptions extends CoreOptions {
  /** Prefix of the numbers that non-idempotent operations return. */
  readonly name?: string;
  readonly workMs?: number;
  /** Upper limit of a uniformly distributed time added to `workMs`. */
  readonly jitterMs?: number;
  /** Maximum number of calls that run concurrently; unlimited by default. */
  readonly concurrency?: number;
  /** Operations that return a new number on every run. */
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
const DEFAULT_NON_IDEMPOTENT_OPERATIONS = ["issue", "reserve"];
const PATH_PREFIX = "/v1/";

/**
 * A plain service stand-in that runs in this process. A call whose caller
 * disconnects is canceled, unless its operation is non-idempotent: then it runs
 * to completion.
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
  readonly #concurrencyLimit: PrioritySemaphore;
  readonly #nonIdempotentOperations: ReadonlySet<string>;
  readonly #server: StandInServer;
  #lastNumber = 0;
  #previousAnswer: PlainAnswer | undefined;

  constructor(options: PlainServiceOptions = {}) {
    this.#core = new BackendServerCore(options);
    this.#name = options.name ?? "plain";
    this.#workMs = options.workMs ?? DEFAULT_WORK_MS;
    this.#jitterMs = options.jitterMs ?? 0;
    this.#concurrencyLimit = new PrioritySemaphore(
      options.concurrency ?? Infinity,
    );
    this.#nonIdempotentOperations = new Set(
      options.nonIdempotentOperations ?? DEFAULT_NON_IDEMPOTENT_OPERATIONS,
    );
    this.#server = new StandInServer({
      control: this.#core.controlRoutes(() => this.#server),
      data: [{
        method: "post",
        path: `${PATH_PREFIX}*`,
        handler: (request, response) => this.#handleCall(request, response),
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

  async #handleCall(
    request: HttpRequest,
    response: HttpResponse,
  ): Promise<void> {
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
    call: AdmittedCall,
    exchange: { readonly response: HttpResponse; readonly input: unknown },
  ): Promise<void> {
    const { response, input } = exchange;
    try {
      const output = this.#makeOutput(call, input);
      await this.#simulateWork(call);
      const own = { requestId: call.entry.requestId, output };
      const answer = this.#chooseAnswer(own);
      if (this.#core.random.nextBoolean(this.#core.faults.breakRatio)) {
        throw new Error("Injected fault: broken answer");
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

  /** A non-idempotent operation takes effect here, before its answer. */
  #makeOutput(
    call: AdmittedCall,
    input: unknown,
  ): PlainOutput | NumberedOutput {
    const { operation } = call.entry;
    const output = expectedPlainOutput(operation, input ?? null);
    if (!this.#nonIdempotentOperations.has(operation)) return output;
    this.#lastNumber++;
    const number = `${this.#name}-${this.#lastNumber}`;
    call.entry.number = number;
    return { ...output, number };
  }

  async #simulateWork(call: AdmittedCall): Promise<void> {
    const jitterMs = this.#jitterMs * this.#core.random.nextFloat();
    const durationMs = this.#workMs + jitterMs;
    const isFailing = this.#core.random.nextBoolean(
      this.#core.faults.failRatio,
    );
    await this.#concurrencyLimit.acquire(0, call.abort.signal);
    try {
      await this.#core.simulateWork(
        call,
        isFailing ? durationMs / 2 : durationMs,
      );
    } finally {
      this.#concurrencyLimit.release();
    }
    if (isFailing) throw new Error("Injected fault: failed call");
  }

  #chooseAnswer(own: PlainAnswer): PlainAnswer {
    const other = this.#previousAnswer;
    this.#previousAnswer = own;
    const isWrong = this.#core.random.nextBoolean(
      this.#core.faults.wrongEchoRatio,
    );
    return isWrong && other !== undefined ? other : own;
  }
}
