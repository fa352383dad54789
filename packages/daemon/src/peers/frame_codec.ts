/**
 * The frame format between daemons: a 4-byte big-endian length, followed by
 * that many bytes of CBOR.
 *
 * @module
 */

import { Encoder, setSizeLimits } from "cbor-x";
import { PeerError } from "./peer_error.js";

/** Size of the length prefix. */
export const FRAME_HEADER_BYTES = 4;

/**
 * Field names of the frequent messages. Each is encoded as its index in this
 * list plus one, so a change here needs a new `PEER_PROTOCOL_VERSION`.
 */
const FIELDS_WITH_INTEGER_KEYS = [
  "type",
  "sequence",
  "generation",
  "leaving",
  "ownedPools",
  "supportedPools",
  "service",
  "dataCentre",
  "pool",
  "ask",
  "decision",
  "release",
  "permit",
  "permitId",
  "attemptId",
  "requestId",
  "clientAccountId",
  "backendServerId",
  "kind",
  "urgency",
  "latestStartInMs",
  "deadlineInMs",
  "likelyDurationMs",
  "excluded",
  "warmUpState",
  "outcome",
  "durationMs",
  "firstTokenMs",
  "tokens",
  "prefixKey",
] as const;

/** Limits the memory that is allocated because of a malicious length field. */
const MAX_COLLECTION_ENTRIES = 1_000_000;

setSizeLimits({
  maxArraySize: MAX_COLLECTION_ENTRIES,
  maxMapSize: MAX_COLLECTION_ENTRIES,
  maxObjectSize: MAX_COLLECTION_ENTRIES,
});

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: Object.fromEntries(
    FIELDS_WITH_INTEGER_KEYS.map((field, index) => [field, index + 1]),
  ),
});

/**
 * Encodes a value as one frame.
 *
 * @example
 * ```ts
 * socket.write(encodeFrame({ type: "leaving", vmId }));
 * ```
 */
export function encodeFrame(value: unknown): Buffer {
  const payload = codec.encode(value);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Decodes the payload of one frame, without the length prefix.
 * Throws a `PeerError` of kind `badFrame` if it isn't valid CBOR.
 *
 * @example
 * ```ts
 * const value = decodePayload(payload);
 * ```
 */
export function decodePayload(payload: Buffer): unknown {
  try {
    return codec.decode(payload);
  } catch (cause) {
    throw new PeerError("badFrame", "The frame payload is not valid CBOR", {
      cause,
    });
  }
}
