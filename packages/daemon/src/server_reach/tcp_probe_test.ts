import { expect } from "earl";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { ServerRegister } from "../register/server_register.js";
import { makeReport } from "../testing/stage_samples.js";
import { probeConnection } from "./tcp_probe.js";

function probe(port: number): Promise<boolean> {
  const register = new ServerRegister(() => undefined);
  const address = { host: "127.0.0.1", port };
  register.apply(makeReport("a", { address }), 0);
  const server = register.get(toId<BackendServerId>("a"));
  if (server === undefined) throw new Error("The server isn't registered");
  return probeConnection(server);
}

describe("probeConnection", () => {
  it("tells whether the server accepts a connection", async () => {
    const listener = createServer().listen(0, "127.0.0.1");
    await new Promise((resolve) => listener.once("listening", resolve));
    const { port } = listener.address() as AddressInfo;
    expect(await probe(port)).toEqual(true);
    listener.close();
    expect(await probe(port)).toEqual(false);
  });

  // Guards against an odd entry of a server ending the task that probes it.
  it("never rejects, whatever the address", async () => {
    expect(await probe(99_999)).toEqual(false);
  });
});
