/**
 * A stand-in for the platform that serves the object API and the VM list over
 * HTTP, with injected faults.
 *
 * @module
 */

import {
  type ListedVm,
  MAX_OBJECT_BYTES,
} from "@sassafrasstage/protocol/platform_objects";
import {
  headerOf,
  type HttpHandler,
  type HttpRequest,
  type HttpResponse,
  readJson,
  type Route,
  sendJson,
  sleep,
  StandInServer,
  urlOf,
} from "../http/stand_in_server.js";
import { SeededRandom } from "../random/seeded_random.js";
import { ObjectTable, type Precondition } from "./object_table.js";
import {
  NO_PLATFORM_FAULTS,
  type PlatformCallKind,
  type PlatformFaults,
  type PlatformRecord,
} from "./platform_faults.js";
import { RateLimiter } from "./rate_limiter.js";
import { VmList } from "./vm_list.js";

export interface PlatformOptions {
  readonly seed?: number;
  readonly vms?: readonly ListedVm[];
  readonly faults?: Partial<PlatformFaults>;
}

const OBJECTS_PATH = "/objects/";
const MAX_WAIT_MS = 60_000;

/**
 * A platform stand-in that runs in this process.
 *
 * @example
 * ```ts
 * const platform = new PlatformStandIn();
 * await platform.start();
 * await platform.setFaults({ slowMs: 500 });
 * ```
 */
export class PlatformStandIn {
  readonly #table = new ObjectTable();
  readonly #vmList: VmList;
  readonly #random: SeededRandom;
  readonly #readLimiter = new RateLimiter();
  readonly #writeLimiter = new RateLimiter();
  readonly #server: StandInServer;
  #faults: PlatformFaults;
  readonly #calls: Record<PlatformCallKind, number> = {
    read: 0,
    list: 0,
    update: 0,
    remove: 0,
    watch: 0,
    vms: 0,
  };
  #conflicts = 0;
  #rateLimited = 0;
  #answersLost = 0;
  #largestValueBytes = 0;
  #bytesIn = 0;
  #bytesOut = 0;

  constructor(options: PlatformOptions = {}) {
    this.#faults = { ...NO_PLATFORM_FAULTS, ...options.faults };
    this.#random = new SeededRandom(options.seed ?? 1);
    this.#vmList = new VmList(options.vms ?? []);
    this.#server = new StandInServer({
      data: this.#dataRoutes(),
      control: this.#controlRoutes(),
    });
  }

  get url(): string {
    return this.#server.url;
  }

  get controlUrl(): string {
    return this.#server.controlUrl;
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  async stop(): Promise<void> {
    this.#table.wakeWaiters();
    await this.#server.stop();
  }

  /** Changes the given faults and keeps the others. */
  async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
    this.#faults = { ...this.#faults, ...faults };
    await this.#server.setDown(this.#faults.isDown);
    if (this.#faults.isWatchCut) this.#table.wakeWaiters();
  }

  /** Sets the VM list, which becomes visible after the current lag. */
  setVms(vms: readonly ListedVm[]): void {
    this.#vmList.set(vms, Date.now() + this.#faults.vmListLagMs);
  }

  trimHistory(): void {
    this.#table.trimHistory();
  }

  record(): PlatformRecord {
    return {
      calls: { ...this.#calls },
      conflicts: this.#conflicts,
      rateLimited: this.#rateLimited,
      answersLost: this.#answersLost,
      objectCount: this.#table.list("").objects.length,
      largestValueBytes: this.#largestValueBytes,
      bytesIn: this.#bytesIn,
      bytesOut: this.#bytesOut,
    };
  }

  #dataRoutes(): Route[] {
    return [
      {
        method: "get",
        path: "/objects",
        handler: this.#wrapHandler("list", (request, response) => {
          const prefix = urlOf(request).searchParams.get("prefix") ?? "";
          this.#sendBody(response, this.#table.list(prefix));
        }),
      },
      {
        method: "get",
        path: `${OBJECTS_PATH}*`,
        handler: this.#wrapHandler("read", (request, response) => {
          const object = this.#table.read(keyOf(request));
          if (object === undefined) answerEmpty(response, 404);
          else this.#sendBody(response, object);
        }),
      },
      {
        method: "put",
        path: `${OBJECTS_PATH}*`,
        handler: this.#wrapHandler(
          "update",
          (request, response) => this.#update(request, response),
        ),
      },
      {
        method: "delete",
        path: `${OBJECTS_PATH}*`,
        handler: this.#wrapHandler("remove", (request, response) => {
          this.#remove(request, response);
        }),
      },
      {
        method: "get",
        path: "/watch",
        handler: this.#wrapHandler(
          "watch",
          (request, response) => this.#watch(request, response),
        ),
      },
      {
        method: "get",
        path: "/vms",
        handler: this.#wrapHandler("vms", (_request, response) => {
          this.#sendBody(response, { vms: this.#vmList.visibleAt(Date.now()) });
        }),
      },
    ];
  }

  #controlRoutes(): Route[] {
    return [
      {
        method: "post",
        path: "/control/faults",
        handler: async (request, response) => {
          await this.setFaults(
            (await readJson(request)) as Partial<PlatformFaults>,
          );
          sendJson(response, { status: 200, body: this.#faults });
        },
      },
      {
        method: "post",
        path: "/control/vms",
        handler: async (request, response) => {
          const body = (await readJson(request)) as { vms: ListedVm[] };
          this.setVms(body.vms);
          answerEmpty(response, 204);
        },
      },
      {
        method: "post",
        path: "/control/trim-history",
        handler: (_request, response) => {
          this.trimHistory();
          answerEmpty(response, 204);
        },
      },
      {
        method: "get",
        path: "/control/record",
        handler: (_request, response) => {
          sendJson(response, { status: 200, body: this.record() });
        },
      },
    ];
  }

  /** Adds the call count, the delay and the rate limit to a handler. */
  #wrapHandler(kind: PlatformCallKind, handler: HttpHandler): HttpHandler {
    return async (request, response) => {
      this.#calls[kind]++;
      if (this.#faults.slowMs > 0) await sleep(this.#faults.slowMs);
      if (!this.#isWithinRate(kind)) {
        this.#rateLimited++;
        sendJson(response, {
          status: 429,
          body: { message: "Too many calls" },
          headers: { "retry-after": "1" },
        });
        return;
      }
      await handler(request, response);
    };
  }

  #isWithinRate(kind: PlatformCallKind): boolean {
    const { maxReadsPerSecond, maxWritesPerSecond } = this.#faults;
    const isWrite = kind === "update" || kind === "remove";
    return isWrite
      ? this.#writeLimiter.tryAcquire(Date.now(), maxWritesPerSecond)
      : this.#readLimiter.tryAcquire(Date.now(), maxReadsPerSecond);
  }

  async #update(request: HttpRequest, response: HttpResponse): Promise<void> {
    const value = await readJson(request);
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > MAX_OBJECT_BYTES) {
      answerEmpty(response, 413);
      return;
    }
    this.#bytesIn += bytes;
    this.#largestValueBytes = Math.max(this.#largestValueBytes, bytes);
    const key = keyOf(request);
    const result = this.#table.update(key, value, preconditionOf(request));
    if (result.kind !== "updated") {
      this.#conflicts++;
      answerEmpty(response, 412);
      return;
    }
    if (this.#dropAnswerByFault(response)) return;
    this.#sendBody(response, { version: result.version });
  }

  #remove(request: HttpRequest, response: HttpResponse): void {
    const result = this.#table.remove(keyOf(request), preconditionOf(request));
    switch (result.kind) {
      case "absent":
        answerEmpty(response, 404);
        return;
      case "conflict":
        this.#conflicts++;
        answerEmpty(response, 412);
        return;
      case "updated":
        if (!this.#dropAnswerByFault(response)) answerEmpty(response, 204);
    }
  }

  #dropAnswerByFault(response: HttpResponse): boolean {
    const { lostAnswers, lostAnswerRatio } = this.#faults;
    if (lostAnswers > 0) {
      this.#faults = { ...this.#faults, lostAnswers: lostAnswers - 1 };
    } else if (!this.#random.nextBoolean(lostAnswerRatio)) {
      return false;
    }
    this.#answersLost++;
    response.destroy();
    return true;
  }

  async #watch(request: HttpRequest, response: HttpResponse): Promise<void> {
    const query = urlOf(request).searchParams;
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after") ?? "0");
    const waitMs = Math.min(Number(query.get("waitMs") ?? "0"), MAX_WAIT_MS);
    const endAtMs = Date.now() + waitMs;
    for (;;) {
      if (response.destroyed) return;
      if (this.#faults.isWatchCut) {
        response.destroy();
        return;
      }
      const answer = this.#table.eventsAfter(prefix, after);
      if (answer === undefined) {
        answerEmpty(response, 410);
        return;
      }
      const remainingMs = endAtMs - Date.now();
      if (answer.events.length > 0 || remainingMs <= 0) {
        this.#sendBody(response, answer);
        return;
      }
      await this.#table.waitForChange(remainingMs);
    }
  }

  #sendBody(response: HttpResponse, body: unknown): void {
    this.#bytesOut += Buffer.byteLength(JSON.stringify(body));
    sendJson(response, { status: 200, body });
  }
}

function answerEmpty(response: HttpResponse, status: number): void {
  if (response.destroyed) return;
  response.writeHead(status);
  response.end();
}

function keyOf(request: HttpRequest): string {
  return decodeURIComponent(
    urlOf(request).pathname.slice(OBJECTS_PATH.length),
  );
}

function preconditionOf(request: HttpRequest): Precondition | undefined {
  if (headerOf(request, "if-none-match") === "*") return { kind: "absent" };
  const version = headerOf(request, "if-match");
  if (version === undefined) return undefined;
  return { kind: "version", version: Number(version.replaceAll('"', "")) };
}
