/**
 * Identifies requests that are the same work, whatever their ids.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { ForwardContext } from "./forward_context.js";
import type { RoutedRequest } from "./routed_request.js";

const HEX_DIGITS = 32;

const digests = new WeakMap<RoutedRequest, string>();

/**
 * Digest of what is the same when a client sends a request again: method, host,
 * path with query, client account and body.
 *
 * @example
 * ```ts
 * logger.info("serverCallFailed", { digest: requestDigest(context) });
 * ```
 */
export function requestDigest(
  { request, account }: Pick<ForwardContext, "request" | "account">,
): string {
  const known = digests.get(request);
  if (known !== undefined) return known;
  const { method, host, path, body } = request;
  const digest = createHash("sha256")
    .update(JSON.stringify([method, host, path, account?.id]))
    .update(body)
    .digest("hex")
    .slice(0, HEX_DIGITS);
  digests.set(request, digest);
  return digest;
}
