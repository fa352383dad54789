/**
 * Runs several stand-in backend servers in one process, each on its own port.
 *
 * @module
 */

import { Command } from "commander";
import { readFileSync } from "node:fs";
import { EngineStandIn } from "../backend_servers/engine_stand_in.js";
import { PlainServiceStandIn } from "../backend_servers/plain_service_stand_in.js";
import type { FarmServer } from "../backend_servers/farm_server.js";
import { announce } from "./announce.js";

const program = new Command("server-farm")
  .description("Run several stand-in backend servers in one process")
  .requiredOption("--servers <file>", "JSON file with the list of servers")
  .parse();

const { servers: file } = program.opts<{ readonly servers: string }>();
const servers = JSON.parse(readFileSync(file, "utf8")) as FarmServer[];
for (const server of servers) {
  const standIn = makeStandIn(server);
  await standIn.start();
  announce({
    id: server.id,
    url: standIn.url,
    controlUrl: standIn.controlUrl,
  });
}

function makeStandIn(server: FarmServer): EngineStandIn | PlainServiceStandIn {
  switch (server.kind) {
    case "modelEngine":
      return new EngineStandIn(server.options);
    case "plain":
      return new PlainServiceStandIn(server.options);
  }
}
