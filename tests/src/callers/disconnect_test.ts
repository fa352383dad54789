import { expect } from "earl";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CALLER_KEY, countRuns, withCluster } from "./callers_cluster.js";

const CLIENT_COUNT = 20;
const DELIVERY_MS = 100;
/** A paused daemon has to win its pools again before it calls a server. */
const FORWARD_MS = 3000;
const BODY = JSON.stringify({ input: {} });

describe("callers that disconnect before the daemon has read their request", () => {
  it("cause no call to a backend server after a pause, unlike one that stays", async () => {
    await withCluster(async (cluster, url) => {
      const [daemon] = cluster.daemons;
      const { hostname, port } = new URL(url);
      daemon?.suspend();
      const sockets = Array.from({ length: CLIENT_COUNT }, () => {
        const socket = connect(Number(port), hostname);
        socket.on("error", () => undefined);
        socket.write([
          "POST /v1/pipelines/issue HTTP/1.1",
          "Host: sassafrasstage",
          `Authorization: Bearer ${CALLER_KEY}`,
          "Content-Type: application/json",
          `Content-Length: ${BODY.length}`,
          "",
          BODY,
        ].join("\r\n"));
        return socket;
      });
      await sleep(DELIVERY_MS);
      const [stayed, ...left] = sockets;
      for (const socket of left) socket.end();
      await sleep(DELIVERY_MS);
      daemon?.resume();
      await sleep(FORWARD_MS);
      const isAnswered = stayed?.bytesRead !== 0;
      for (const socket of sockets) socket.destroy();
      expect(isAnswered).toEqual(true);
      expect(await countRuns(cluster, "registry")).toEqual(1);
    });
  });
});
