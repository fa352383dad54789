/**
 * Authentication of operators by bearer key.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";

const BEARER_PATTERN = /^Bearer +(?<key>\S+)$/i;

/**
 * Whether the `Authorization` header carries the key with this SHA-256 digest.
 * Compares digests in constant time, so that timing reveals nothing about the
 * key.
 *
 * @example
 * ```ts
 * isAdminKey(request.headers.authorization, settings.admin.key_sha256);
 * ```
 */
export function isAdminKey(
  authorization: string | undefined,
  keySha256: string,
): boolean {
  const key = BEARER_PATTERN.exec(authorization ?? "")?.groups?.["key"];
  if (key === undefined) return false;
  const digest = createHash("sha256").update(key).digest();
  const expected = Buffer.from(keySha256, "hex");
  return digest.byteLength === expected.byteLength &&
    timingSafeEqual(digest, expected);
}
