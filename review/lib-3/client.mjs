// Clients and the platform's entry: each new channel goes to a machine that is
// ready; two misses of the question that is asked once a second take one out.

import { request } from "node:http";

const QUESTION_INTERVAL_MS = 1000;
const MISSES = 2;

export class Entry {
  #misses = new Map();
  #timer;

  constructor(vms) {
    this.vms = vms;
    for (const vm of vms) this.#misses.set(vm, 0);
  }

  start() {
    this.#timer = setInterval(() => {
      for (const vm of this.vms) void this.#ask(vm);
    }, QUESTION_INTERVAL_MS);
  }

  close() {
    clearInterval(this.#timer);
  }

  async #ask(vm) {
    const isReady = await vm.isReady();
    this.#misses.set(vm, isReady ? 0 : this.#misses.get(vm) + 1);
  }

  /** A machine for the client's next channel. */
  choose(number) {
    const inRotation = this.vms.filter((vm) => this.#misses.get(vm) < MISSES);
    const candidates = inRotation.length * 2 < this.vms.length
      ? this.vms
      : inRotation;
    return candidates[number % candidates.length];
  }
}

let lastNumber = 0;

/** A new attempt's id. */
export function newAttemptId() {
  lastNumber += 1;
  return (0xa000_0000_0000 + lastNumber).toString(16).padStart(16, "0");
}

/**
 * Sends one request on a channel of its own, or on one of the agent's, and
 * resolves with what the client saw.
 */
export function send(vm, options) {
  const {
    method = "GET",
    host,
    path,
    id,
    key,
    deadlineMs,
    body,
    agent = false,
    headers = {},
    timeoutMs = deadlineMs,
  } = options;
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ id, vm: vm.name, sentAt, endedAt: Date.now(), ...result });
    };
    const call = request({
      host: vm.ip,
      port: vm.ports.front,
      method,
      path,
      agent,
      headers: {
        host,
        "x-attempt-id": id,
        "x-deadline-ms": String(deadlineMs),
        ...(key === undefined ? {} : { "api-key": key }),
        ...(body === undefined ? {} : { "content-length": body.length }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.once("close", () => {
        finish({
          outcome: response.complete ? "answered" : "cut",
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    const timer = setTimeout(() => {
      call.destroy();
      finish({ outcome: "gaveUp" });
    }, timeoutMs);
    call.once("error", (error) => {
      finish({ outcome: "closed", error: error.code });
    });
    call.end(body);
  });
}
