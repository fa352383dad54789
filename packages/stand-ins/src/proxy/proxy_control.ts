/**
 * The HTTP control server of a set of proxies.
 *
 * @module
 */

import {
  readJson,
  type Route,
  sendJson,
  StandInServer,
} from "../http/stand_in_server.js";
import type { LinkMode } from "./link_mode.js";
import type { TcpProxy } from "./tcp_proxy.js";

interface SetModeRequest {
  readonly name: string;
  readonly mode: LinkMode;
  readonly source?: string;
}

/**
 * `GET /control/record` lists the proxies; `POST /control/faults` with
 * `{name, mode, source?}` sets a mode; `POST /control/heal` resets all modes.
 */
export class ProxyControl {
  readonly #proxies: ReadonlyMap<string, TcpProxy>;
  readonly #server: StandInServer;

  constructor(proxies: ReadonlyMap<string, TcpProxy>) {
    this.#proxies = proxies;
    this.#server = new StandInServer({ data: [], control: this.#routes() });
  }

  get url(): string {
    return this.#server.controlUrl;
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  #routes(): Route[] {
    return [
      {
        method: "get",
        path: "/control/record",
        handler: (_request, response) => {
          const proxies = [...this.#proxies].map(([name, proxy]) => ({
            name,
            address: proxy.address,
            connections: proxy.connections,
          }));
          sendJson(response, { status: 200, body: { proxies } });
        },
      },
      {
        method: "post",
        path: "/control/faults",
        handler: async (request, response) => {
          const body = (await readJson(request)) as SetModeRequest;
          const proxy = this.#proxies.get(body.name);
          if (proxy === undefined) throw new Error("Unknown proxy");
          proxy.setMode(body.mode, body.source);
          sendJson(response, { status: 200, body: {} });
        },
      },
      {
        method: "post",
        path: "/control/heal",
        handler: (_request, response) => {
          for (const proxy of this.#proxies.values()) proxy.heal();
          sendJson(response, { status: 200, body: {} });
        },
      },
    ];
  }
}
