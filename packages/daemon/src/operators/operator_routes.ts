/**
 * The administration API, `/admin/v1/...`, for operators with the admin key.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { makeProblem } from "@sassafrasstage/protocol/problems";
import type { DaemonStatus } from "@sassafrasstage/protocol/status";
import type { ServerResponse } from "node:http";
import type restana from "restana";
import type { ConfigurationChange } from "../configuration/configuration_change.js";
import { ConfigurationError } from "../configuration/configuration_error.js";
import type { RunningConfigurationManager } from "../configuration/start_configuration_manager.js";
import { readBody } from "../http/read_body.js";
import { sendProblem } from "../http/send_problem.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Settings } from "../settings/settings.js";
import {
  type AdminResponse,
  refuse,
  refuseUnavailable,
  toSubmissionResponse,
} from "./admin_response.js";
import { isAdminKey } from "./admin_key.js";
import {
  parseApplyRequest,
  parseAvailabilityRequest,
} from "./admin_request.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;

type HttpService = restana.Service<restana.Protocol.HTTP>;
type HttpRequest = restana.Request<restana.Protocol.HTTP>;

export interface OperatorRoutesOptions {
  readonly settings: Settings;
  readonly configuration: RunningConfigurationManager;
  readonly status: () => DaemonStatus;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

type Handler = (body: string, params: Params) => Promise<AdminResponse>;
type Params = Readonly<Record<string, string>>;

/**
 * Adds the routes of the administration API to a server.
 *
 * @example
 * ```ts
 * addOperatorRoutes(service, { settings, configuration, status, metrics, logger });
 * ```
 */
export function addOperatorRoutes(
  service: HttpService,
  options: OperatorRoutesOptions,
): void {
  addQueryRoutes(service, options);
  addChangeRoutes(service, options);
}

function addQueryRoutes(
  service: HttpService,
  options: OperatorRoutesOptions,
): void {
  const { configuration, status } = options;
  const queries: Readonly<Record<string, () => Promise<AdminResponse>>> = {
    "/admin/v1/configuration": () =>
      Promise.resolve(showConfiguration(configuration)),
    "/admin/v1/configuration/history": () => showHistory(configuration),
    "/admin/v1/status": () => Promise.resolve({ kind: "done", body: status() }),
    "/admin/v1/fleet": () => Promise.resolve(showFleet(status())),
  };
  for (const [path, handler] of Object.entries(queries)) {
    service.get(path, requireAdminKey(options, handler));
  }
}

function addChangeRoutes(
  service: HttpService,
  options: OperatorRoutesOptions,
): void {
  const { configuration } = options;
  service.post(
    "/admin/v1/configuration",
    requireAdminKey(
      options,
      (body) => replaceConfiguration(configuration, body),
    ),
  );
  for (const direction of ["out", "in"] as const) {
    service.post(
      `/admin/v1/data-centres/:name/${direction}`,
      requireAdminKey(options, (body, params) => {
        const name = toId<DataCentreName>(params["name"] ?? "");
        const change = { kind: "dataCentre", name, direction } as const;
        return changeAvailability(configuration, body, change);
      }),
    );
    service.post(
      `/admin/v1/backend-servers/:id/${direction}`,
      requireAdminKey(options, (body, params) => {
        const id = toId<BackendServerId>(params["id"] ?? "");
        const change = { kind: "backendServer", id, direction } as const;
        return changeAvailability(configuration, body, change);
      }),
    );
  }
}

/** Wraps a handler: checks the admin key and sends the handler's response. */
function requireAdminKey(
  options: OperatorRoutesOptions,
  handler: Handler,
): (request: HttpRequest, response: ServerResponse) => Promise<void> {
  return (request, response) =>
    handleExchange(options, { handler, request, response });
}

interface Exchange {
  readonly handler: Handler;
  readonly request: HttpRequest;
  readonly response: ServerResponse;
}

async function handleExchange(
  options: OperatorRoutesOptions,
  exchange: Exchange,
): Promise<void> {
  const { request, response } = exchange;
  const adminResponse = await authorizeAndRun(options, exchange);
  if (adminResponse === undefined) return;
  if (adminResponse.kind === "refused") {
    const { reason } = adminResponse.problem;
    options.metrics.countRefusal(reason);
    options.logger.info("operatorRefused", { path: request.url, reason });
    sendProblem(response, adminResponse.problem);
    return;
  }
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(adminResponse.body));
}

/** Returns undefined when the operator disconnected. */
async function authorizeAndRun(
  options: OperatorRoutesOptions,
  exchange: Exchange,
): Promise<AdminResponse | undefined> {
  const { handler, request, response } = exchange;
  const { authorization } = request.headers;
  if (!isAdminKey(authorization, options.settings.admin.key_sha256)) {
    response.setHeader("connection", "close");
    return refuse("unauthorized", "Expected the admin key as bearer key");
  }
  const body = await readBody(request, MAX_BODY_BYTES);
  if (body.kind === "broken") return undefined;
  if (body.kind === "tooLarge") {
    response.setHeader("connection", "close");
    return refuse("bodyTooLarge", `Expected at most ${MAX_BODY_BYTES} bytes`);
  }
  try {
    return await handler(body.text, request.params);
  } catch (error) {
    options.logger.error("operatorCallFailed", {
      path: request.url,
      error: String(error),
    });
    return {
      kind: "refused",
      problem: makeProblem("internalError", {
        detail: "The call failed; the daemon's log says why",
        notRun: false,
      }),
    };
  }
}

function showConfiguration(
  manager: RunningConfigurationManager,
): AdminResponse {
  const body = manager.current();
  if (body !== undefined) return { kind: "done", body };
  return refuse("notReady", "No configuration is in force here yet");
}

async function showHistory(
  manager: RunningConfigurationManager,
): Promise<AdminResponse> {
  try {
    return { kind: "done", body: { changes: await manager.history() } };
  } catch (error) {
    if (!(error instanceof ConfigurationError)) throw error;
    return refuseUnavailable(error.message);
  }
}

function showFleet(status: DaemonStatus): AdminResponse {
  const { vmId, generation, members } = status;
  return {
    kind: "done",
    body: { answeredBy: vmId, generation, daemons: members },
  };
}

async function replaceConfiguration(
  manager: RunningConfigurationManager,
  text: string,
): Promise<AdminResponse> {
  const parsed = parseApplyRequest(text);
  if (parsed.kind === "malformed") {
    return refuse("malformedRequest", parsed.detail);
  }
  const { register, rules, ...submission } = parsed.body;
  const content = { register, rules };
  const result = await manager.submit({
    ...submission,
    change: { kind: "replace", content },
  });
  return toSubmissionResponse(result);
}

async function changeAvailability(
  manager: RunningConfigurationManager,
  text: string,
  change: ConfigurationChange,
): Promise<AdminResponse> {
  const parsed = parseAvailabilityRequest(text);
  if (parsed.kind === "malformed") {
    return refuse("malformedRequest", parsed.detail);
  }
  return toSubmissionResponse(await manager.submit({ ...parsed.body, change }));
}
