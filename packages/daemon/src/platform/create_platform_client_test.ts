import { expect } from "earl";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { settingsSchema } from "../settings/settings.js";
import {
  createPlatformClient,
  type PlatformClient,
} from "./create_platform_client.js";
import { PlatformError } from "./platform_error.js";

const CALL_TIMEOUT_MS = 200;

async function errorKindOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return "none";
  } catch (error) {
    return error instanceof PlatformError ? error.kind : String(error);
  }
}

function openClient(url: string): PlatformClient {
  const settings = settingsSchema.parse({
    vm: { id: "vm-a1", data_centre: "palermo" },
    listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
    peers: { shared_key: "0123456789abcdef" },
    platform: {
      url,
      call_timeout_ms: CALL_TIMEOUT_MS,
      max_calls_in_flight: 2,
    },
    admin: { key_sha256: "0".repeat(64) },
  });
  return createPlatformClient({
    settings,
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
}

function respondNotFound(response: ServerResponse): void {
  response.statusCode = 404;
  response.end();
}

describe("createPlatformClient", () => {
  const absent = { kind: "absent" } as const;
  let respond: (response: ServerResponse) => void;
  let requests: string[];
  let server: Server;
  let client: PlatformClient;
  let url: string;

  beforeEach(async () => {
    requests = [];
    server = createServer((request, response) => {
      requests.push(`${request.method ?? ""} ${request.url ?? ""}`);
      respond(response);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    client = openClient(url);
  });

  afterEach(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });

  function respondWith(status: number, body: unknown = ""): void {
    respond = (response) => {
      response.statusCode = status;
      response.end(typeof body === "string" ? body : JSON.stringify(body));
    };
  }

  it("maps each platform response to its result", async () => {
    respondWith(200, { key: "a/b c", version: 3, value: [1] });
    expect(await client.read("a/b c")).toEqual({
      key: "a/b c",
      version: 3,
      value: [1],
    });
    expect(requests).toEqual(["GET /objects/a/b%20c"]);
    respondWith(404);
    expect(await client.read("a")).toEqual(undefined);
    respondWith(412);
    expect(await client.update("a", 1, absent)).toEqual({ kind: "conflict" });
    respondWith(200, { version: 4 });
    expect(await client.update("a", 1, absent)).toEqual({
      kind: "updated",
      version: 4,
    });
    respondWith(410);
    const request = { prefix: "a", afterRevision: 1, waitMs: 10 };
    expect(await client.watch(request, new AbortController().signal))
      .toEqual({ kind: "tooOld" });
  });

  it("reports notDone only when the call can't have taken effect", async () => {
    for (const status of [413, 429, 503]) {
      respondWith(status);
      expect(await errorKindOf(client.update("a", 1, absent)))
        .toEqual("notDone");
    }
    for (const body of ["no json", { version: "x" }]) {
      respondWith(200, body);
      expect(await errorKindOf(client.update("a", 1, absent)))
        .toEqual("outcomeUnknown");
    }
    respond = (response) => response.destroy();
    expect(await errorKindOf(client.update("a", 1, absent)))
      .toEqual("outcomeUnknown");
    const refused = openClient("http://127.0.0.1:1");
    expect(await errorKindOf(refused.update("a", 1, absent)))
      .toEqual("notDone");
    await refused.close();
  });

  it("counts as reachable after a call that the platform finds too large", async () => {
    respondWith(413);
    await errorKindOf(client.update("a", 1, absent));
    expect(client.isReachable(MONOTONIC_CLOCK.nowMs())).toEqual(true);
    respondWith(503);
    await errorKindOf(client.update("a", 1, absent));
    expect(client.isReachable(MONOTONIC_CLOCK.nowMs())).toEqual(false);
  });

  it("retries a read, but not a write, after a broken connection", async () => {
    respond = (response) => response.destroy();
    expect(await errorKindOf(client.read("a"))).toEqual("notDone");
    expect(requests.length).toEqual(2);
    expect(await errorKindOf(client.remove("a", 1))).toEqual("outcomeUnknown");
    expect(requests.length).toEqual(3);
    respond = (response) => {
      if (requests.length === 4) response.destroy();
      else respondNotFound(response);
    };
    expect(await client.read("a")).toEqual(undefined);
    expect(requests.length).toEqual(5);
  });

  it("times out in-flight and queued calls to an unresponsive platform", async () => {
    respond = () => undefined;
    const calls = [1, 2, 3, 4].map(() =>
      errorKindOf(client.update("a", 1, absent))
    );
    const kinds = await Promise.all(calls);
    expect(kinds.filter((kind) => kind === "none")).toEqual([]);
    expect(kinds.slice(0, 2)).toEqual(["outcomeUnknown", "outcomeUnknown"]);
    expect(client.isReachable(MONOTONIC_CLOCK.nowMs())).toEqual(false);
    respondWith(404);
    await client.read("a");
    expect(client.isReachable(MONOTONIC_CLOCK.nowMs())).toEqual(true);
  });

  it("does not count waiting watches against the limit on calls in flight", async () => {
    respond = () => undefined;
    const abort = new AbortController();
    const request = { prefix: "a", afterRevision: 1, waitMs: 60_000 };
    const watches = [1, 2, 3].map(() =>
      errorKindOf(client.watch(request, abort.signal))
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    respondWith(404);
    expect(await client.read("a")).toEqual(undefined);
    abort.abort();
    await Promise.all(watches);
  });
});
