import type { DaemonStatus } from "@sassafrasstage/protocol/status";
import { expect } from "earl";
import { createHash } from "node:crypto";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import restana from "restana";
import { request } from "undici";
import {
  ConfigurationFleet,
  type TestDaemon,
} from "../configuration/testing/configuration_fleet.js";
import { makeSampleContent } from "../configuration/testing/sample_content.js";
import { createLogger } from "../observability/logger.js";
import { settingsSchema } from "../settings/settings.js";
import { addOperatorRoutes } from "./operator_routes.js";

const ADMIN_KEY = "admin-key";

interface Answer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

interface CallOptions {
  readonly key?: string;
  readonly body?: string;
}

describe("addOperatorRoutes", () => {
  let fleet: ConfigurationFleet;
  let daemon: TestDaemon;
  let service: restana.Service<restana.Protocol.HTTP>;
  let url: string;

  beforeEach(async () => {
    fleet = new ConfigurationFleet();
    daemon = await fleet.start("vm-a1");
    service = restana();
    addOperatorRoutes(service, {
      settings: settingsSchema.parse({
        vm: { id: "vm-a1", data_centre: "palermo" },
        listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
        peers: { shared_key: "0123456789abcdef" },
        platform: { url: "http://127.0.0.1:1" },
        admin: {
          key_sha256: createHash("sha256").update(ADMIN_KEY).digest("hex"),
        },
      }),
      configuration: daemon.manager,
      status: () => ({ vmId: "vm-a1", members: [] } as unknown as DaemonStatus),
      metrics: daemon.metrics,
      logger: createLogger("error", {}),
    });
    const server = await service.start(0, "127.0.0.1");
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(async () => {
    await service.close();
    await fleet.close();
  });

  async function call(
    method: "GET" | "POST",
    path: string,
    options: CallOptions = {},
  ): Promise<Answer> {
    const response = await request(`${url}/admin/v1/${path}`, {
      method,
      headers: { authorization: `Bearer ${options.key ?? ADMIN_KEY}` },
      body: options.body ?? null,
    });
    const body = await response.body.json() as Answer["body"];
    return { status: response.statusCode, body };
  }

  function apply(fields: object = {}): Promise<Answer> {
    const body = JSON.stringify({ ...makeSampleContent(), ...fields });
    return call("POST", "configuration", { body });
  }

  it("accepts a configuration and shows it", async () => {
    const accepted = await apply({ changeId: "first", author: "ada" });
    expect(accepted).toEqual({
      status: 200,
      body: { generation: 1, changeId: "first" },
    });
    const shown = await call("GET", "configuration");
    expect(shown.body).toEqual({ ...makeSampleContent(), generation: 1 });
    const history = await call("GET", "configuration/history");
    expect(history.body).toLooseEqual({
      changes: [
        expect.subset({ generation: 1, changeId: "first", author: "ada" }),
      ],
    });
  });

  it("refuses a wrong key and changes nothing", async () => {
    const body = JSON.stringify(makeSampleContent());
    const answer = await call("POST", "configuration", { key: "no", body });
    expect(answer.status).toEqual(401);
    expect(answer.body["reason"]).toEqual("unauthorized");
    expect(fleet.store.revision).toEqual(0);
  });

  it("reports every fault with its path", async () => {
    await apply();
    const revision = fleet.store.revision;
    const answer = await apply({ rules: { pipelines: 3 } });
    expect(answer.status).toEqual(422);
    const faults = answer.body["faults"] as { path: string }[];
    expect(faults.map((fault) => fault.path)).toEqual([
      "rules.pipelines",
      "rules.clientAccounts",
    ]);
    expect(fleet.store.revision).toEqual(revision);
  });

  it("shows the newer generation on a conflict", async () => {
    await apply({ author: "ada", changeId: "one" });
    await apply({ author: "bea", changeId: "two" });
    const answer = await apply({ basedOnGeneration: 1 });
    expect(answer.status).toEqual(409);
    expect(answer.body["newer"] as object).toLooseEqual(
      expect.subset({ generation: 2, author: "bea", changeId: "two" }),
    );
  });

  it("takes a data centre out of service and back in", async () => {
    await apply();
    await call("POST", "data-centres/palermo/out");
    expect(daemon.manager.current()?.rules.dataCentresOut.map(String))
      .toEqual(["palermo"]);
    const back = await call("POST", "data-centres/palermo/in");
    expect(back.body["generation"]).toEqual(3);
    expect(daemon.manager.current()?.rules.dataCentresOut).toEqual([]);
    const unknown = await call("POST", "data-centres/rome/out");
    expect(unknown.status).toEqual(404);
  });

  it("refuses malformed bodies, and changes during a platform outage, with a reason", async () => {
    const noJson = await call("POST", "configuration", { body: "{" });
    expect(noJson.body["reason"]).toEqual("malformedRequest");
    const unknownField = await apply({ extra: 1 });
    expect(unknownField.body["reason"]).toEqual("malformedRequest");
    const none = await call("GET", "configuration");
    expect(none.body["reason"]).toEqual("notReady");
    fleet.store.isDown = true;
    const down = await apply();
    expect(down.status).toEqual(503);
    expect(down.body["reason"]).toEqual("platformUnavailable");
    expect(down.body["notRun"]).toEqual(true);
  });
});
