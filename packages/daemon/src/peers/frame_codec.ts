/**
 * Frames between daemons: a 4-byte big-endian length and so many bytes of
 * CBOR.
 *
 * @module
 */

import { Encoder, setSizeLimits } from "cbor-x";
import { PeerError } from "./peer_error.js";

/** Bytes of the length prefix. */
export const FRAME_HEADER_BYTES = 4;

/**
 * The fields of the frequent messages, sent as their place in this list plus
 * one. A change here needs a new `PEER_PROTOCOL_VERSION`.
 */
const SHORT_FIELDS = [
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

/** Keeps a hostile length field from reserving much memory. */
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
    SHORT_FIELDS.map((field, index) => [field, index + 1]),
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
 * Decodes the bytes of one frame, without the length prefix.
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
    throw new PeerError("badFrame", "The frame is not CBOR", { cause });
  }
}
