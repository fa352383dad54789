/**
 * A stand-in for a model engine with the OpenAI-compatible completions API.
 *
 * @module
 */

import {
  headerOf,
  type HttpRequest,
  type HttpResponse,
  readJson,
  type Route,
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
import { expectedTokens, findMarker } from "./expected_output.js";
import {
  DEFAULT_PREFIX_CACHE,
  PrefixCache,
  type PrefixCacheOptions,
} from "./prefix_cache.js";
import { endRun } from "./run_log.js";

export interface EngineTimings {
  /** Time to the first token on a warm server without other calls. */
  readonly firstTokenMs: number;
  /** Time between tokens on a warm server without other calls. */
  readonly betweenTokensMs: number;
  /** Maximum number of concurrent calls; each of them slows all others. */
  readonly batchSize: number;
  /** Share of the time to the first token that a prefix cache hit saves. */
  readonly prefixHitSaving: number;
}

export const DEFAULT_ENGINE_TIMINGS: EngineTimings = {
  firstTokenMs: 20,
  betweenTokensMs: 2,
  batchSize: 8,
  prefixHitSaving: 0.5,
};

export interface EngineOptions extends CoreOptions {
  readonly timings?: Partial<EngineTimings>;
  readonly prefixCache?: Partial<PrefixCacheOptions>;
}

interface CompletionsBody {
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
}

interface Completion {
  readonly call: AdmittedCall;
  readonly body: CompletionsBody;
  readonly maxTokens: number;
  readonly response: HttpResponse;
}

/** An answer, kept so that a fault can send it to another request. */
interface EngineAnswer {
  readonly requestId: string;
  readonly tokens: readonly string[];
}

const DEFAULT_MAX_TOKENS = 16;

/**
 * A model engine stand-in that runs in this process.
 *
 * @example
 * ```ts
 * const engine = new EngineStandIn({ coldStart: { isColdAtStart: true } });
 * await engine.start();
 * ```
 */
export class EngineStandIn {
  readonly #core: BackendServerCore;
  readonly #timings: EngineTimings;
  readonly #batchSlots: PrioritySemaphore;
  readonly #prefixCache: PrefixCache;
  readonly #server: StandInServer;
  #previousAnswer: EngineAnswer | undefined;

  constructor(options: EngineOptions = {}) {
    this.#core = new BackendServerCore(options);
    this.#timings = { ...DEFAULT_ENGINE_TIMINGS, ...options.timings };
    this.#batchSlots = new PrioritySemaphore(this.#timings.batchSize);
    this.#prefixCache = new PrefixCache({
      ...DEFAULT_PREFIX_CACHE,
      ...options.prefixCache,
    }, this.#core.random);
    this.#core.onTurnCold = () => {
      this.#prefixCache.clear();
    };
    this.#server = new StandInServer({
      control: [
        ...this.#core.controlRoutes(() => this.#server),
        this.#cacheEventsRoute(),
      ],
      data: [{
        method: "post",
        path: "/v1/completions",
        handler: (request, response) => this.#complete(request, response),
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

  #cacheEventsRoute(): Route {
    return {
      method: "get",
      path: "/cache-events",
      handler: (request, response) => {
        const after = Number(urlOf(request).searchParams.get("after") ?? "0");
        const events = this.#prefixCache.eventsAfter(after, Date.now());
        sendJson(response, { status: 200, body: { events } });
      },
    };
  }

  async #complete(
    request: HttpRequest,
    response: HttpResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as CompletionsBody;
    const idempotencyKey = headerOf(request, "idempotency-key");
    const marker = findMarker(body.prompt);
    const call = this.#core.admit(response, () => ({
      requestId: headerOf(request, "x-request-id") ?? "",
      operation: "completions",
      arrivedAtMs: Date.now(),
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      ...(marker === undefined ? {} : { marker }),
    }));
    if (call === undefined) return;
    response.once("close", () => {
      if (!response.writableFinished) interrupt(call, "disconnected");
    });
    const maxTokens = body.max_tokens ?? DEFAULT_MAX_TOKENS;
    await this.#run({ call, body, maxTokens, response });
  }

  async #run(completion: Completion): Promise<void> {
    const { call, response } = completion;
    const { signal } = call.abort;
    let hasBatchSlot = false;
    try {
      await this.#batchSlots.acquire(completion.body.priority ?? 0, signal);
      hasBatchSlot = true;
      await this.#generate(completion);
      endRun(call.entry, "completed");
    } catch {
      const isDisconnected = signal.reason === "disconnected";
      endRun(call.entry, isDisconnected ? "canceled" : "failed");
      answerUnavailable(response, "failed");
    } finally {
      if (hasBatchSlot) this.#batchSlots.release();
      this.#core.finish(call);
    }
  }

  async #generate(completion: Completion): Promise<void> {
    const { call, body, maxTokens, response } = completion;
    const answer = this.#chooseAnswer(completion);
    const breakAfter = this.#tokensBeforeBreak(maxTokens);
    const writer = body.stream === true
      ? new StreamWriter(response, answer.requestId)
      : undefined;
    await this.#core.simulateWork(call, this.#firstTokenMs(body.prompt));
    for (const [index, token] of answer.tokens.entries()) {
      if (index > 0) {
        await this.#core.simulateWork(call, this.#betweenTokensMs());
      }
      if (index >= breakAfter) throw new Error("Injected fault: broken answer");
      this.#core.recordToken(call, index);
      writer?.writeToken(token);
    }
    if (writer === undefined) sendCompletion(response, answer);
    else writer.end(answer.tokens.length);
  }

  /**
   * Stores this answer and returns it, or returns the answer to the previous
   * request if a fault is injected.
   */
  #chooseAnswer(completion: Completion): EngineAnswer {
    const own: EngineAnswer = {
      requestId: completion.call.entry.requestId,
      tokens: expectedTokens(completion.body.prompt, completion.maxTokens),
    };
    const other = this.#previousAnswer;
    this.#previousAnswer = own;
    const isWrong = this.#core.random.nextBoolean(
      this.#core.faults.wrongEchoRatio,
    );
    return isWrong && other !== undefined ? other : own;
  }

  #tokensBeforeBreak(maxTokens: number): number {
    const { failRatio, breakRatio, breakAfterTokens } = this.#core.faults;
    if (this.#core.random.nextBoolean(failRatio)) return 0;
    if (!this.#core.random.nextBoolean(breakRatio)) return Infinity;
    return Math.min(breakAfterTokens, maxTokens - 1);
  }

  #firstTokenMs(prompt: string): number {
    const isHit = this.#prefixCache.touch(prompt, Date.now());
    const { firstTokenMs, prefixHitSaving } = this.#timings;
    const saving = isHit ? prefixHitSaving : 0;
    return firstTokenMs * (1 - saving) * this.#batchSlowFactor();
  }

  #betweenTokensMs(): number {
    return this.#timings.betweenTokensMs * this.#batchSlowFactor();
  }

  #batchSlowFactor(): number {
    return 1 + (this.#batchSlots.inUse - 1) / this.#timings.batchSize;
  }
}

/** Writes a completion as server-sent events. */
class StreamWriter {
  readonly #response: HttpResponse;
  readonly #requestId: string;

  constructor(response: HttpResponse, requestId: string) {
    this.#response = response;
    this.#requestId = requestId;
  }

  writeToken(text: string): void {
    if (!this.#response.headersSent) {
      this.#response.writeHead(200, {
        "content-type": "text/event-stream",
        "x-request-id": this.#requestId,
      });
    }
    this.#write({
      id: this.#requestId,
      object: "text_completion",
      choices: [{ index: 0, text, finish_reason: null }],
    });
  }

  end(tokenCount: number): void {
    this.#write({
      id: this.#requestId,
      object: "text_completion",
      choices: [{ index: 0, text: "", finish_reason: "stop" }],
      usage: { completion_tokens: tokenCount },
    });
    this.#response.end("data: [DONE]\n\n");
  }

  #write(chunk: unknown): void {
    this.#response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}

function sendCompletion(response: HttpResponse, answer: EngineAnswer): void {
  sendJson(response, {
    status: 200,
    headers: { "x-request-id": answer.requestId },
    body: {
      id: answer.requestId,
      object: "text_completion",
      choices: [{
        index: 0,
        text: answer.tokens.join(""),
        finish_reason: "stop",
      }],
      usage: { completion_tokens: answer.tokens.length },
    },
  });
}
