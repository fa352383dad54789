/**
 * A client's stream and its calls to backend servers in simulated time.
 *
 * @module
 */

import { BufferAccount } from "../../memory/buffer_account.js";
import { ServerNotices } from "../../register/server_notices.js";
import { NO_NOTICE } from "../../register/server_notice.js";
import {
  type AttemptId,
  type BackendServerId,
  type DataCentreName,
  type SoftwareVersion,
  toId,
} from "@sassafrasstage/protocol/ids";
import { setImmediate as waitForTurn } from "node:timers/promises";
import type { Clock } from "../../clock.js";
import { LatencyRecords } from "../../observability/latency_records.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import { ServerDirectory } from "../../placement/server_directory.js";
import type { ServerHealth } from "../../placement/server_health.js";
import type { PoisonParts } from "../../poison_parts/poison_parts.js";
import { makeRateLimits } from "../../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../../register/server_register.js";
import { LinkedVm } from "../../stage_graphs/testing/linked_vms.js";
import { NO_RECORDED_VERSIONS } from "../../stream_versions/served_versions.js";
import { StreamVersions } from "../../stream_versions/stream_versions.js";
import { ENCODER, makeReport } from "../../testing/stage_samples.js";
import type { ForwardContext, ForwardOutcome } from "../forward_context.js";
import { forwardStream } from "../forward_stream.js";
import { RequestLifetime } from "../request_lifetime.js";
import { RouteStatistics } from "../route_statistics.js";
import type { PromptShape } from "../routed_request.js";
import type {
  ResponseHead,
  ServerCall,
  ServerCallListener,
} from "../server_caller.js";
import { makePoisonParts } from "./make_poison_parts.js";

export interface SimulatedStreamOptions {
  /** Ids and software versions of the servers. */
  readonly servers: Readonly<Record<string, string>>;
  readonly maxAttempts?: number;
  readonly isResumable?: boolean;
  /** Retries that the retry budget allows. */
  readonly retries?: number;
  readonly onCall?: (call: SimulatedCall) => void;
  /** If set, the request has a prompt with a part that others may share. */
  readonly poisonParts?: PoisonParts;
}

/** The part of `mock.timers` that is used. */
interface SimulatedTimers {
  tick(durationMs: number): void;
}

const PROMPT: PromptShape = {
  inputTokens: 20,
  maxOutputTokens: 5,
  parts: [{ id: "aa", tokens: 10 }, { id: "own", tokens: 10 }],
};
const TICK_MS = 10;
/** Turns of the event loop in which all reactions to a tick take place. */
const TURNS_PER_TICK = 6;
const TIMEOUT_MS = 20_000;
/** The fraction of a retry budget that is used; see `SlidingRetryBudget`. */
const BUDGET_SAFETY_FACTOR = 0.7;

export class SimulatedStream {
  readonly calls: SimulatedCall[] = [];
  readonly clock: Clock = { nowMs: () => this.#nowMs };
  readonly lifetime: RequestLifetime;
  readonly metrics = new Metrics();
  /** What the client has received. */
  body = "";
  head: Pick<ResponseHead, "status" | "endsWithConnection"> | undefined;
  end: "complete" | "aborted" | "localReply" | undefined;
  outcome: ForwardOutcome | undefined;
  /** Rejection of the forwarder, which none of the cases may cause. */
  error: unknown;
  readonly #options: SimulatedStreamOptions;
  readonly #timers: SimulatedTimers;
  readonly #directory: ServerDirectory;
  #nowMs = 0;

  constructor(timers: SimulatedTimers, options: SimulatedStreamOptions) {
    this.#options = options;
    this.#timers = timers;
    const register = new ServerRegister(() => undefined);
    for (const [id, version] of Object.entries(options.servers)) {
      const softwareVersion = toId<SoftwareVersion>(version);
      register.apply(makeReport(id, { softwareVersion }), 0);
    }
    const rateLimits = makeRateLimits();
    const slack = (options.retries ?? 10) / BUDGET_SAFETY_FACTOR;
    this.#directory = new ServerDirectory({
      clock: this.clock,
      rateLimits,
      register,
      limits: () => ({
        retries: { windowMs: TIMEOUT_MS, ratio: 0, slack },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => undefined,
      vmCount: () => 1,
    });
    this.lifetime = new RequestLifetime({
      endsAtMs: TIMEOUT_MS,
      clock: this.clock,
    });
    const context = this.#makeContext(register, rateLimits);
    void forwardStream(context).then((outcome) => {
      this.outcome = outcome;
    }, (error: unknown) => {
      this.error = error;
    });
  }

  get isEnded(): boolean {
    return this.outcome !== undefined || this.error !== undefined;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Lets time pass; `onTick` runs before each step. */
  async advance(durationMs: number, onTick?: () => void): Promise<void> {
    const endsAtMs = this.#nowMs + durationMs;
    await this.settle();
    while (this.#nowMs < endsAtMs) {
      this.#nowMs += TICK_MS;
      onTick?.();
      this.#timers.tick(TICK_MS);
      await this.settle();
    }
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS_PER_TICK; turn++) await waitForTurn();
  }

  /** The call at a position in the order in which they were started. */
  call(index: number): SimulatedCall {
    const call = this.calls[index];
    if (call === undefined) throw new Error(`There is no call ${index}`);
    return call;
  }

  health(id: string): ServerHealth {
    return this.#directory.healthOf(toId<BackendServerId>(id));
  }

  #makeContext(
    register: ServerRegister,
    rateLimits: ForwardContext["environment"]["rateLimits"],
  ): ForwardContext {
    const logger = createLogger("error", {});
    const { metrics, clock } = this;
    return {
      environment: {
        maxStageItems: 1000,
        directory: this.#directory,
        serverCaller: {
          start: (serverCall, listener) => {
            const call = new SimulatedCall(serverCall, listener, clock);
            this.calls.push(call);
            this.#options.onCall?.(call);
            return call;
          },
        },
        // Not used by a route without stages.
        graphs: undefined as never,
        rateLimits,
        streamVersions: new StreamVersions({
          network: new LinkedVm("vm-1"),
          register,
          served: NO_RECORDED_VERSIONS,
          confirmRegister: () => Promise.resolve(true),
          clock,
          metrics,
          logger,
        }),
        poisonParts: this.#options.poisonParts ?? makePoisonParts(),
        serverNotices: new ServerNotices({ register, clock, metrics, logger }),
        routeStatistics: new RouteStatistics(),
        buffers: new BufferAccount({
          maxBytes: Infinity,
          nowMs: () => 0,
          onEvicted: () => undefined,
        }),
        dataCentre: toId<DataCentreName>("east"),
        clock,
        metrics,
        latencies: new LatencyRecords(),
        logger,
      },
      request: {
        attemptId: toId<AttemptId>("attempt-1"),
        host: "api.example",
        method: "POST",
        path: "/draft/1",
        headers: [],
        body: Buffer.alloc(0),
        key: undefined,
        deadlineInMs: TIMEOUT_MS,
        prompt: this.#options.poisonParts === undefined ? undefined : PROMPT,
        resumeAfter: undefined,
        resumedAttemptId: undefined,
        stageItems: undefined,
        inputKey: undefined,
        receivedAtMs: 0,
      },
      channel: this.#makeChannel(),
      route: {
        name: "draft",
        host: "api.example",
        pathPrefix: "/draft/",
        repeatability: {
          kind: "stream",
          isResumable: this.#options.isResumable ?? true,
        },
        targets: [{ service: ENCODER, weight: 1 }],
        maxAttempts: this.#options.maxAttempts ?? 2,
        timeoutMs: TIMEOUT_MS,
        objectiveMs: 1000,
        priority: 0,
        isPublic: true,
        stages: [],
      },
      service: ENCODER,
      account: undefined,
      lifetime: this.lifetime,
      stageGroup: "",
      configurationVersion: 1,
    };
  }

  #makeChannel(): ForwardContext["channel"] {
    const finish = (end: NonNullable<SimulatedStream["end"]>): void => {
      if (this.end !== undefined) throw new Error(`Ended twice: ${end}`);
      this.end = end;
    };
    return {
      isClosed: false,
      backlogBytes: 0,
      onClosed: () => undefined,
      writeHead: (head) => {
        if (this.head !== undefined) throw new Error("The head was sent twice");
        this.head = head;
      },
      write: (chunk) => {
        if (this.end !== undefined) throw new Error("Written after the end");
        this.body += chunk.toString();
      },
      end: () => {
        finish("complete");
      },
      abort: () => {
        finish("aborted");
      },
      sendLocalReply: () => {
        if (this.head !== undefined) throw new Error("A head was sent already");
        finish("localReply");
      },
    };
  }
}

export class SimulatedCall {
  readonly server: string;
  readonly resumeAfter: number;
  readonly startedAtMs: number;
  /** When the server began to work on the stream. */
  firstEventAtMs: number | undefined;
  /** When the call ended or was canceled. */
  closedAtMs: number | undefined;
  isCanceled = false;
  readonly #listener: ServerCallListener;
  readonly #clock: Clock;

  constructor(call: ServerCall, listener: ServerCallListener, clock: Clock) {
    this.server = call.server.id;
    this.resumeAfter = Number(call.resumeAfter ?? 0);
    this.startedAtMs = clock.nowMs();
    this.#listener = listener;
    this.#clock = clock;
  }

  get isOpen(): boolean {
    return this.closedAtMs === undefined;
  }

  cancel(): void {
    if (!this.isOpen) return;
    this.isCanceled = true;
    this.closedAtMs = this.#clock.nowMs();
  }

  cancelIfNotSent(): boolean {
    return false;
  }

  sendHead(head: Partial<ResponseHead> = {}): void {
    if (!this.isOpen) return;
    this.#listener.onHead({
      status: 200,
      headers: [],
      isNotRun: false,
      isInputGone: false,
      endsWithConnection: false,
      isGenuine: true,
      rateLimit: { kind: "unknown" },
      notice: NO_NOTICE,
      ...head,
    });
  }

  sendEvent(id: number): void {
    this.sendBytes(`id: ${id}\ndata: ${id}\n\n`);
  }

  sendBytes(text: string): void {
    if (!this.isOpen) return;
    if (text.endsWith("\n\n")) this.firstEventAtMs ??= this.#clock.nowMs();
    this.#listener.onBody(Buffer.from(text));
  }

  end(): void {
    if (!this.isOpen) return;
    this.closedAtMs = this.#clock.nowMs();
    this.#listener.onEnd();
  }

  refuse(): void {
    this.sendHead({ status: 503, isNotRun: true });
    this.end();
  }

  fail(kind: "notSent" | "broken"): void {
    if (!this.isOpen) return;
    this.closedAtMs = this.#clock.nowMs();
    this.#listener.onFailure(
      kind === "notSent"
        ? { kind, detail: "test", isConnectionFailure: true }
        : { kind, detail: "test", remainingConnections: "some" },
    );
  }
}
