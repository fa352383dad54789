/**
 * What the kernel knows of a connection that isn't being read or written.
 *
 * @module
 */

import type { Server, Socket } from "node:net";
import { readSocketOption } from "./connection_resets.js";

/** Of Linux. */
const TCP_INFO = { level: 6, name: 11 };
/** Of `struct tcp_info`, up to the bytes that haven't been sent. */
const INFO_WORDS = 37;
const UNACKED_WORD = 6;
const ACKED_LOW_WORD = 30;
const ACKED_HIGH_WORD = 31;
const NOT_SENT_WORD = 36;
const WORD_RANGE = 2 ** 32;
const STATE_MASK = 0xff;
const TCP_CLOSE = 7;
const TCP_CLOSE_WAIT = 8;

export interface TcpState {
  /** Bytes that the other side's kernel has received. */
  readonly ackedBytes: number;
  /** Whether the other side's kernel has all that this one was given. */
  readonly isAllAcked: boolean;
  /** Whether the other side has closed, even if that wasn't read yet. */
  readonly isClosedByPeer: boolean;
}

/** Undefined if that can't be found out. */
export function readTcpState(socket: Socket): TcpState | undefined {
  const info = new Int32Array(INFO_WORDS);
  if (!readSocketOption(socket, TCP_INFO, info)) return undefined;
  const state = (info[0] ?? 0) & STATE_MASK;
  const low = (info[ACKED_LOW_WORD] ?? 0) >>> 0;
  const high = (info[ACKED_HIGH_WORD] ?? 0) >>> 0;
  return {
    ackedBytes: high * WORD_RANGE + low,
    isAllAcked: info[UNACKED_WORD] === 0 && info[NOT_SENT_WORD] === 0,
    isClosedByPeer: state === TCP_CLOSE || state === TCP_CLOSE_WAIT,
  };
}

/**
 * Number of connections that wait to be accepted; undefined if that can't be
 * found out. The kernel states it in place of unacknowledged segments.
 */
export function readQueuedConnections(server: Server): number | undefined {
  const info = new Int32Array(INFO_WORDS);
  return readSocketOption(server, TCP_INFO, info)
    ? info[UNACKED_WORD]
    : undefined;
}
