/**
 * A forwarding environment whose backend servers never respond, sample routes
 * and requests, and a channel that records what its client receives.
 *
 * @module
 */

import { BufferAccount } from "../../memory/buffer_account.js";
import { NO_NOTICE } from "../../register/server_notice.js";
import { ServerNotices } from "../../register/server_notices.js";
import {
  type AttemptId,
  type DataCentreName,
  type ServiceName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { MONOTONIC_CLOCK } from "../../clock.js";
import { LatencyRecords } from "../../observability/latency_records.js";
import type { LogFields } from "../../observability/log_fields.js";
import type { Logger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import { ServerDirectory } from "../../placement/server_directory.js";
import { makeRateLimits } from "../../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../../register/server_register.js";
import { RouteTable } from "../../routing/route_table.js";
import type {
  Repeatability,
  Route,
} from "../../routing/routing_configuration.js";
import { LinkedVm } from "../../stage_graphs/testing/linked_vms.js";
import { NO_RECORDED_VERSIONS } from "../../stream_versions/served_versions.js";
import { StreamVersions } from "../../stream_versions/stream_versions.js";
import { ENCODER, makeReport } from "../../testing/stage_samples.js";
import type { ForwardEnvironment } from "../forward_context.js";
import { RouteStatistics } from "../route_statistics.js";
import type {
  ClientChannel,
  ClientResponseHead,
  LocalReply,
  RoutedRequest,
} from "../routed_request.js";
import type { ResponseHead } from "../server_caller.js";
import { makePoisonParts } from "./make_poison_parts.js";

const NO_CALL = {
  cancel: () => undefined,
  cancelIfNotSent: () => false,
};

/** The head of a server's sound response. */
export const SAMPLE_HEAD: ResponseHead = {
  status: 200,
  headers: [],
  isNotRun: false,
  isInputGone: false,
  endsWithConnection: false,
  isGenuine: true,
  rateLimit: { kind: "unknown" },
  notice: NO_NOTICE,
};

export interface LoggedEvent {
  readonly level: "error" | "warn" | "info" | "debug";
  readonly event: string;
  readonly fields: LogFields;
}

/** Records the events instead of writing them. */
export class RecordingLogger implements Logger {
  readonly events: LoggedEvent[] = [];

  error(event: string, fields: LogFields = {}): void {
    this.events.push({ level: "error", event, fields });
  }

  warn(event: string, fields: LogFields = {}): void {
    this.events.push({ level: "warn", event, fields });
  }

  info(event: string, fields: LogFields = {}): void {
    this.events.push({ level: "info", event, fields });
  }

  debug(event: string, fields: LogFields = {}): void {
    this.events.push({ level: "debug", event, fields });
  }
}

/** Records what the client receives. */
export class RecordingChannel implements ClientChannel {
  readonly heads: ClientResponseHead[] = [];
  readonly replies: LocalReply[] = [];
  readonly #closeListeners: (() => void)[] = [];
  isClosed = false;
  isEnded = false;
  isAborted = false;
  backlogBytes = 0;
  /** Makes the next head fail, as an HTTP library does for invalid headers. */
  headError: Error | undefined;

  onClosed(listener: () => void): void {
    this.#closeListeners.push(listener);
  }

  disconnectClient(): void {
    this.isClosed = true;
    for (const listener of this.#closeListeners) listener();
  }

  writeHead(head: ClientResponseHead): void {
    if (this.headError !== undefined) throw this.headError;
    this.heads.push(head);
  }

  write(): void {
    this.backlogBytes = 0;
  }

  end(): void {
    this.isEnded = true;
  }

  abort(): void {
    this.isAborted = true;
  }

  sendLocalReply(reply: LocalReply): void {
    this.replies.push(reply);
  }
}

/** The backend servers are registered for the sample routes' service. */
export function makeForwardEnvironment(
  overrides: Partial<ForwardEnvironment> = {},
  serverIds: readonly string[] = ["a", "b"],
): ForwardEnvironment {
  const clock = MONOTONIC_CLOCK;
  const metrics = new Metrics();
  const logger = new RecordingLogger();
  const rateLimits = makeRateLimits();
  const register = new ServerRegister(() => undefined);
  for (const id of serverIds) register.apply(makeReport(id), 0);
  return {
    directory: new ServerDirectory({
      clock,
      rateLimits,
      register,
      limits: () => ({
        retries: { windowMs: 10_000, ratio: 1, slack: 10 },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => undefined,
      vmCount: () => 1,
    }),
    serverCaller: { start: () => NO_CALL },
    // Not used by routes without stages.
    graphs: undefined as never,
    maxStageItems: 1000,
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
    poisonParts: makePoisonParts(),
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
    ...overrides,
  };
}

export function makeSampleRoute(
  name: string,
  repeatability: Repeatability,
  overrides: Partial<Route> = {},
): Route {
  return {
    name,
    host: "api.example",
    pathPrefix: `/${name}/`,
    repeatability,
    targets: [{ service: toId<ServiceName>(ENCODER), weight: 1 }],
    maxAttempts: 2,
    timeoutMs: 5000,
    objectiveMs: 1000,
    priority: 0,
    isPublic: true,
    stages: [],
    ...overrides,
  };
}

export function makeSampleTable(routes: readonly Route[]): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 10_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    accounts: undefined,
  });
}

export function makeRoutedRequest(
  path: string,
  overrides: Partial<RoutedRequest> = {},
): RoutedRequest {
  return {
    attemptId: toId<AttemptId>("attempt-1"),
    host: "api.example",
    method: "GET",
    path,
    headers: [],
    body: Buffer.alloc(0),
    key: undefined,
    deadlineInMs: 5000,
    prompt: undefined,
    resumeAfter: undefined,
    resumedAttemptId: undefined,
    stageItems: undefined,
    inputKey: undefined,
    receivedAtMs: MONOTONIC_CLOCK.nowMs(),
    ...overrides,
  };
}
