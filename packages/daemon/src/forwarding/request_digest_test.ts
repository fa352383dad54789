import { type ClientAccountId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { requestDigest } from "./request_digest.js";
import type { RoutedRequest } from "./routed_request.js";
import { makeRoutedRequest } from "./testing/sample_forwarding.js";

const BODY = Buffer.from("body");

function digestOf(
  overrides: Partial<RoutedRequest> = {},
  account = "shop",
): string {
  return requestDigest({
    request: makeRoutedRequest("/work/1?full=1", { body: BODY, ...overrides }),
    account: {
      id: toId<ClientAccountId>(account),
      keys: [],
      priority: undefined,
    },
  });
}

describe("requestDigest", () => {
  it("is the same when a client sends a request again", () => {
    const again = digestOf({
      receivedAtMs: 7,
      deadlineInMs: 1,
      key: "another key of the account",
      headers: [["X-Trace", "2"]],
      body: Buffer.from("body"),
    });
    expect(again).toEqual(digestOf());
  });

  it("differs for another method, host, path, query, client account or body", () => {
    const digests = [
      digestOf(),
      digestOf({ method: "POST" }),
      digestOf({ host: "other.example" }),
      digestOf({ path: "/work/2?full=1" }),
      digestOf({ path: "/work/1" }),
      digestOf({ body: Buffer.from("other") }),
      digestOf({ body: Buffer.alloc(0) }),
      digestOf({}, "other"),
    ];
    expect(new Set(digests).size).toEqual(digests.length);
  });
});
