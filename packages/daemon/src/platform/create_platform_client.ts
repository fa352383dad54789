/**
 * HTTP client for the platform's object API.
 *
 * @module
 */

import type {
  ObjectListing,
  StoredObject,
  VmListing,
} from "@sassafrasstage/protocol/platform_objects";
import { buildConnector, Pool } from "undici";
import {
  BoundedConnection,
  type BoundedConnectionOptions,
} from "../http/bounded_connection.js";
import type { ResponseLimits } from "../http/buffered_exchange.js";
import { createSmallChunkLimiter } from "../http/small_chunk_limiter.js";
import { BufferAccount } from "../memory/buffer_account.js";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Settings } from "../settings/settings.js";
import { CallLimiter } from "./call_limiter.js";
import type {
  ExpectedVersion,
  ObjectStore,
  UpdateResult,
  WatchRequest,
  WatchResult,
} from "./object_store.js";
import {
  objectListingSchema,
  objectVersionSchema,
  storedObjectSchema,
  vmListingSchema,
  watchResponseSchema,
} from "./platform_response_schemas.js";
import {
  expectAcceptedSize,
  isBrokenConnection,
  parseReply,
  type PlatformCall,
  type PlatformReply,
  sendCall,
  unexpectedStatus,
} from "./platform_transport.js";
import { Reachability } from "./reachability.js";

export interface PlatformClientOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export interface PlatformClient extends ObjectStore {
  /** False for some time after a call failed, unless a later call succeeds. */
  isReachable(nowMs: number): boolean;
  close(): Promise<void>;
}

type CallKind = "read" | "list" | "update" | "remove" | "watch" | "listVms";
type CallInput = Omit<PlatformCall, "url" | "timeoutMs"> & {
  readonly path: string;
  readonly extraTimeMs?: number;
};

/**
 * Creates a client with its own connection pool.
 *
 * @example
 * ```ts
 * const platform = createPlatformClient({ settings, clock, metrics, logger });
 * const head = await platform.read("configuration/head");
 * await platform.close();
 * ```
 */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  return new HttpPlatformClient(options);
}

/** Of all responses that are being received. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

class HttpPlatformClient implements PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #pool: Pool;
  readonly #limits: ResponseLimits;
  readonly #limiter: CallLimiter;
  readonly #reachability = new Reachability();
  readonly #baseUrl: string;

  constructor(options: PlatformClientOptions) {
    const { platform, vm } = options.settings;
    this.#options = options;
    this.#pool = new Pool(new URL(platform.url).origin, {
      connect: buildConnector({ timeout: platform.call_timeout_ms }),
      ...(vm.source_address === undefined
        ? {}
        : { localAddress: vm.source_address }),
      factory: (origin, connectionOptions) =>
        new BoundedConnection(
          origin,
          // The pool hands on its own options.
          connectionOptions as BoundedConnectionOptions,
          {
            onFault: (fault) => {
              options.metrics.countEvent(`platformConnectionClosed.${fault}`);
              options.logger.warn("platformConnectionClosed", {
                reason: fault,
              });
            },
          },
        ),
    });
    const { clock } = options;
    this.#limits = {
      chunkLimiter: createSmallChunkLimiter(() => clock.nowMs()),
      buffers: new BufferAccount({
        maxBytes: MAX_BUFFERED_BYTES,
        nowMs: () => clock.nowMs(),
        onEvicted: (eviction) => {
          options.metrics.countEvent("platformResponseEvicted");
          options.logger.warn("platformResponseEvicted", { ...eviction });
        },
      }),
    };
    this.#baseUrl = platform.url.replace(/\/+$/, "");
    this.#limiter = new CallLimiter({
      maxInFlight: platform.max_calls_in_flight,
      maxWaitMs: platform.call_timeout_ms,
    });
  }

  async read(key: string): Promise<StoredObject | undefined> {
    const reply = await this.#call("read", {
      method: "GET",
      path: objectPath(key),
    });
    if (reply.status === 404) return undefined;
    expectStatus(reply, 200);
    return parseReply(reply, storedObjectSchema);
  }

  async list(prefix: string): Promise<ObjectListing> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const reply = await this.#call("list", { method: "GET", path });
    expectStatus(reply, 200);
    return parseReply(reply, objectListingSchema);
  }

  async update(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<UpdateResult> {
    const reply = await this.#call("update", {
      method: "PUT",
      path: objectPath(key),
      headers: {
        "content-type": "application/json",
        ...conditionHeaders(expected),
      },
      body: JSON.stringify(value),
    });
    if (reply.status === 412) return { kind: "conflict" };
    expectStatus(reply, 200);
    const { version } = parseReply(reply, objectVersionSchema);
    return { kind: "updated", version };
  }

  async remove(key: string, version: number): Promise<UpdateResult> {
    const reply = await this.#call("remove", {
      method: "DELETE",
      path: objectPath(key),
      headers: conditionHeaders({ kind: "version", version }),
    });
    if (reply.status === 412) return { kind: "conflict" };
    if (reply.status !== 404) expectStatus(reply, 204);
    return { kind: "updated", version };
  }

  async watch(
    request: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    const query = new URLSearchParams({
      prefix: request.prefix,
      after: String(request.afterRevision),
      waitMs: String(request.waitMs),
    });
    const reply = await this.#call("watch", {
      method: "GET",
      path: `/watch?${query.toString()}`,
      extraTimeMs: request.waitMs,
      signal,
    });
    if (reply.status === 410) return { kind: "tooOld" };
    expectStatus(reply, 200);
    return { kind: "events", answer: parseReply(reply, watchResponseSchema) };
  }

  async listVms(): Promise<VmListing> {
    const reply = await this.#call("listVms", { method: "GET", path: "/vms" });
    expectStatus(reply, 200);
    return parseReply(reply, vmListingSchema);
  }

  isReachable(nowMs: number): boolean {
    return this.#reachability.isReachable(nowMs);
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(kind: CallKind, input: CallInput): Promise<PlatformReply> {
    const { path, extraTimeMs = 0, ...rest } = input;
    const { call_timeout_ms: callTimeoutMs } = this.#options.settings.platform;
    const call: PlatformCall = {
      ...rest,
      url: this.#baseUrl + path,
      timeoutMs: callTimeoutMs + extraTimeMs,
    };
    // A watch is a long poll: it must not occupy a slot that other calls need.
    if (kind === "watch") return this.#send(kind, call);
    return this.#limiter.run(() => this.#sendWithRetry(kind, call));
  }

  /** Retries a read once if its connection broke; never retries a write. */
  async #sendWithRetry(
    kind: CallKind,
    call: PlatformCall,
  ): Promise<PlatformReply> {
    try {
      return await this.#send(kind, call);
    } catch (error) {
      if (call.method !== "GET" || !isBrokenConnection(error)) throw error;
      return this.#send(kind, call);
    }
  }

  async #send(kind: CallKind, call: PlatformCall): Promise<PlatformReply> {
    const { clock, metrics, logger } = this.#options;
    metrics.countEvent(`platformCall.${kind}`);
    let reply: PlatformReply;
    try {
      reply = await sendCall({
        dispatcher: this.#pool,
        limits: this.#limits,
      }, call);
    } catch (error) {
      if (call.signal?.aborted === true) throw error;
      this.#reachability.recordFailure(clock.nowMs());
      metrics.countEvent(`platformCallFailed.${kind}`);
      logger.debug("platformCallFailed", { call: kind, error: String(error) });
      throw error;
    }
    this.#reachability.recordSuccess();
    expectAcceptedSize(reply);
    return reply;
  }
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function conditionHeaders(expected: ExpectedVersion): Record<string, string> {
  switch (expected.kind) {
    case "absent":
      return { "if-none-match": "*" };
    case "version":
      return { "if-match": String(expected.version) };
  }
}

function expectStatus(reply: PlatformReply, status: number): void {
  if (reply.status !== status) throw unexpectedStatus(reply);
}
