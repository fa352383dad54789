/** HTTP calls of clients, and waiting. */

import { randomBytes } from "node:crypto";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

export { sleep };

export function newAttemptId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends one request, on a new channel unless there is an agent; resolves once it
 * has ended.
 */
export function call({ host, port }, options) {
  const { method = "GET", path, headers = {}, body, timeoutMs } = options;
  const { agent = false } = options;
  return new Promise((resolve) => {
    const parts = [];
    let response;
    const settle = (end) => {
      clearTimeout(timer);
      resolve({
        end,
        status: response?.statusCode,
        headers: response?.headers ?? {},
        text: Buffer.concat(parts).toString("latin1"),
      });
    };
    const message = request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
    });
    const timer = setTimeout(() => {
      settle("timeout");
      message.destroy();
    }, timeoutMs);
    message.on("error", (error) => settle(error.code ?? String(error)));
    message.on("response", (received) => {
      response = received;
      received.on("data", (chunk) => {
        parts.push(chunk);
      });
      received.on("end", () => settle("complete"));
      received.on("aborted", () => settle("aborted"));
      received.on("error", () => settle("aborted"));
    });
    message.end(body);
  });
}
