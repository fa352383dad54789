/** A client that sends several requests on a kept channel without waiting. */

import { connect } from "node:net";
import { newAttemptId } from "./calls.mjs";

export class PipeliningClient {
  #socket;
  #request;
  #received = "";
  #isClosed = false;
  /** Ids of the requests that were sent, in their order. */
  sent = [];

  /** @param request The host, path and deadline of its requests */
  constructor(address, request) {
    this.#request = request;
    this.#socket = connect(address);
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (bytes) => {
      this.#received += bytes.toString("latin1");
    });
    this.#socket.on("error", () => undefined);
    this.#socket.on("close", () => {
      this.#isClosed = true;
    });
  }

  get isClosed() {
    return this.#isClosed;
  }

  /** Ids of the attempts that were answered whole, with their status. */
  get answers() {
    const answers = new Map();
    let rest = this.#received;
    for (;;) {
      const answer = takeAnswer(rest);
      if (answer === undefined) return answers;
      answers.set(answer.attemptId, answer.status);
      rest = answer.rest;
    }
  }

  /** Whether an answer has told that the channel will be closed. */
  get isToldToClose() {
    return /^connection: close\r$/im.test(this.#received);
  }

  send(count) {
    const { host, path, deadlineMs } = this.#request;
    const ids = Array.from({ length: count }, newAttemptId);
    this.sent.push(...ids);
    this.#socket.write(
      ids.map((id) =>
        `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${id}\r\n` +
        `X-Deadline-Ms: ${deadlineMs}\r\n\r\n`
      ).join(""),
    );
    return ids;
  }

  close() {
    this.#socket.destroy();
  }
}

/** The first answer, if it is complete. */
function takeAnswer(text) {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const bodyAt = headEnd + 4;
  const field = (name) => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1];
  const status = Number(head.split(" ")[1]);
  const attemptId = field("x-attempt-id");
  const length = field("content-length");
  if (length !== undefined) {
    const end = bodyAt + Number(length);
    if (text.length < end) return undefined;
    return { status, attemptId, rest: text.slice(end) };
  }
  let at = bodyAt;
  for (;;) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    at = lineEnd + 2 + size + 2;
    if (text.length < at) return undefined;
    if (size === 0) return { status, attemptId, rest: text.slice(at) };
  }
}
