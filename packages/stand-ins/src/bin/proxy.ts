/**
 * Runs fault-injecting TCP proxies as a process.
 *
 * @module
 */

import { Command } from "commander";
import { ProxyControl } from "../proxy/proxy_control.js";
import type { Endpoint } from "../proxy/proxied_connection.js";
import { TcpProxy } from "../proxy/tcp_proxy.js";
import { announce } from "./announce.js";

const program = new Command("proxy")
  .description("Run fault-injecting TCP proxies, with one listener per target")
  .argument("<targets...>", "targets in the form NAME=HOST:PORT")
  .parse();

const proxies = new Map<string, TcpProxy>();
const control = new ProxyControl(proxies);
await control.start();
for (const text of program.args) {
  const { name, target } = parseTarget(text);
  const proxy = new TcpProxy({ target });
  await proxy.start();
  proxies.set(name, proxy);
  announce({
    id: name,
    url: `http://${proxy.address}`,
    controlUrl: control.url,
  });
}

interface NamedTarget {
  readonly name: string;
  readonly target: Endpoint;
}

function parseTarget(text: string): NamedTarget {
  const match = /^(?<name>[^=]+)=(?<host>.+):(?<port>\d+)$/.exec(text);
  const name = match?.groups?.["name"];
  const host = match?.groups?.["host"];
  const port = Number(match?.groups?.["port"]);
  if (name === undefined || host === undefined) {
    return program.error(`Expected NAME=HOST:PORT, got "${text}"`);
  }
  return { name, target: { host, port } };
}
