import { expect } from "earl";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { TcpProxy } from "./tcp_proxy.js";

const WAIT_MS = 100;

describe("TcpProxy", () => {
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  let proxy: TcpProxy;
  let client: Socket;
  let received: string;

  beforeEach(async () => {
    await new Promise<void>((resolve) => {
      echo.listen(0, "127.0.0.1", resolve);
    });
    const { port } = echo.address() as AddressInfo;
    proxy = new TcpProxy({
      target: { host: "127.0.0.1", port },
      findSource: (address) => address === "127.0.0.1" ? "self" : undefined,
    });
    await proxy.start();
    received = "";
    client = connect(proxy.port, "127.0.0.1");
    client.on("error", () => undefined);
    client.on("data", (chunk) => {
      received += chunk.toString();
    });
    await new Promise((resolve) => client.once("connect", resolve));
  });

  afterEach(async () => {
    client.destroy();
    await proxy.stop();
    await new Promise((resolve) => echo.close(resolve));
  });

  it("holds bytes back while frozen and delivers them afterwards", async () => {
    await sendAndWait(client, "a");
    proxy.setMode({ kind: "freeze" });
    await sendAndWait(client, "b");
    expect(received).toEqual("a");
    proxy.heal();
    await sendAndWait(client, "c");
    expect(received).toEqual("abc");
  });

  it("cuts only the given source", async () => {
    await sendAndWait(client, "a");
    proxy.setMode({ kind: "cut" }, "another");
    await sendAndWait(client, "b");
    expect(received).toEqual("ab");
    proxy.setMode({ kind: "cut" }, "self");
    await sendAndWait(client, "c");
    expect(client.destroyed).toEqual(true);
  });

  it("drops the bytes of one direction when half open", async () => {
    proxy.setMode({ kind: "halfOpen", dropped: "toSource" });
    await sendAndWait(client, "a");
    expect(received).toEqual("");
    expect(client.destroyed).toEqual(false);
  });

  it("resets a half-open connection on healing, since bytes were dropped", async () => {
    proxy.setMode({ kind: "halfOpen", dropped: "toSource" });
    await sendAndWait(client, "a");
    proxy.heal();
    await sleep();
    expect(client.destroyed).toEqual(true);
  });

  it("keeps the order of bytes when a delay ends", async () => {
    proxy.setMode({ kind: "delay", delayMs: WAIT_MS });
    client.write("a");
    await new Promise((resolve) => setTimeout(resolve, WAIT_MS / 4));
    proxy.heal();
    client.write("b");
    await sleep();
    await sleep();
    expect(received).toEqual("ab");
  });

  it("resets a connection after the given number of bytes", async () => {
    proxy.setMode({ kind: "resetAfter", bytes: 3 });
    await sendAndWait(client, "abcdef");
    expect(client.destroyed).toEqual(true);
  });

  it("refuses connections while the target does not listen", async () => {
    client.destroy();
    const { port } = echo.address() as AddressInfo;
    await new Promise((resolve) => echo.close(resolve));
    await tryToConnect(proxy.port);
    expect(await tryToConnect(proxy.port)).toEqual("ECONNREFUSED");
    await new Promise<void>((resolve) => {
      echo.listen(port, "127.0.0.1", resolve);
    });
    while (await tryToConnect(proxy.port) !== "connected") await sleep();
  });
});

async function sendAndWait(client: Socket, text: string): Promise<void> {
  client.write(text);
  await sleep();
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, WAIT_MS));
}

function tryToConnect(port: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    socket.once("error", (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? "error");
    });
    socket.once("connect", () => {
      setTimeout(() => {
        socket.destroy();
        resolve("connected");
      }, WAIT_MS);
    });
  });
}
