/**
 * Socket options for connections whose orderly end is the only mark of a
 * complete response: the kernel resets such a connection if the process ends
 * meanwhile, and tells whether the other side has reset it.
 *
 * The kernel closes the connections of a killed process in the same way as a
 * process does after a complete response, so the other side couldn't tell the
 * two apart.
 *
 * @module
 */

import koffi from "koffi";
import type { Server, Socket } from "node:net";

/** Of Linux, on all processors that Node.js supports there. */
const SOL_SOCKET = 1;
const SO_ERROR = 4;
const SO_RCVBUF = 8;
const SO_LINGER = 13;

/** `struct linger`: whether it is on, and the time to linger in seconds. */
const RESET_ON_CLOSE = new Int32Array([1, 0]);
const CLOSE_IN_ORDER = new Int32Array([0, 0]);

/** Functions of the C library; they return 0 on success. */
type LibraryFunction = (
  ...args: (number | Int32Array | Uint32Array)[]
) => number;

interface SocketOptions {
  /** `setsockopt(descriptor, level, option, value, bytes)` */
  readonly set: LibraryFunction;
  /** `getsockopt(descriptor, level, option, value, bytes)` */
  readonly get: LibraryFunction;
}

interface Support {
  readonly options: SocketOptions | undefined;
  /** Why there are none. */
  readonly fault: string | undefined;
}

let support: Support | undefined;

/**
 * Loads the C library's functions, and returns why they can't be used;
 * undefined if they can.
 */
export function loadConnectionResets(): string | undefined {
  support ??= loadSupport();
  return support.fault;
}

/**
 * From now on, the connection is reset when it is closed or the process ends.
 * Returns whether the kernel accepted that.
 *
 * @example
 * ```ts
 * if (enableResetOnExit(socket)) response.useChunkedEncodingByDefault = false;
 * ```
 */
export function enableResetOnExit(socket: Socket): boolean {
  return setLinger(socket, RESET_ON_CLOSE);
}

/**
 * Restores the orderly close. To be called once the kernel holds all bytes of
 * the response: it sends them even if the process is killed then.
 */
export function disableResetOnExit(socket: Socket): boolean {
  return setLinger(socket, CLOSE_IN_ORDER);
}

/**
 * Whether the other side has reset the connection. To be called in the `end`
 * event, which Node.js also emits for a reset that it reads together with data.
 * False if that can't be found out.
 */
export function wasReset(socket: Socket): boolean {
  const descriptor = descriptorOf(socket);
  const options = socketOptions();
  if (options === undefined || descriptor === undefined) return false;
  const error = new Int32Array(1);
  const bytes = new Uint32Array([error.byteLength]);
  const result = options.get(descriptor, SOL_SOCKET, SO_ERROR, error, bytes);
  return result === 0 && error[0] !== 0;
}

/**
 * Reads a socket option into words of 32 bits. False if it can't be read, or
 * the connection is closed.
 */
export function readSocketOption(
  socket: Socket | Server,
  option: { readonly level: number; readonly name: number },
  value: Int32Array,
): boolean {
  const descriptor = descriptorOf(socket);
  const options = socketOptions();
  if (options === undefined || descriptor === undefined) return false;
  const bytes = new Uint32Array([value.byteLength]);
  return options.get(descriptor, option.level, option.name, value, bytes) === 0;
}

/**
 * Limits how many bytes the kernel holds for each connection that the server
 * accepts from now on, and so how many are read at once. Returns whether the
 * kernel accepted that.
 */
export function limitReceiveBuffer(server: Server, bytes: number): boolean {
  const descriptor = descriptorOf(server);
  const options = socketOptions();
  if (options === undefined || descriptor === undefined) return false;
  const value = new Int32Array([bytes]);
  const { byteLength } = value;
  return options.set(descriptor, SOL_SOCKET, SO_RCVBUF, value, byteLength) ===
    0;
}

function setLinger(socket: Socket, value: Int32Array): boolean {
  const descriptor = descriptorOf(socket);
  const options = socketOptions();
  if (options === undefined || descriptor === undefined) return false;
  const { byteLength } = value;
  return options.set(descriptor, SOL_SOCKET, SO_LINGER, value, byteLength) ===
    0;
}

function socketOptions(): SocketOptions | undefined {
  support ??= loadSupport();
  return support.options;
}

function loadSupport(): Support {
  if (process.platform !== "linux") {
    const fault = `Not supported on ${process.platform}`;
    return { options: undefined, fault };
  }
  try {
    // Null stands for the libraries that the process is linked to.
    const library = koffi.load(null);
    const set = library.func(
      "int setsockopt(int, int, int, const int32_t *, uint32_t)",
    ) as LibraryFunction;
    const get = library.func(
      "int getsockopt(int, int, int, _Out_ int32_t *, _Inout_ uint32_t *)",
    ) as LibraryFunction;
    return { options: { set, get }, fault: undefined };
  } catch (error) {
    return { options: undefined, fault: String(error) };
  }
}

/** Undefined once the connection is closed. */
function descriptorOf(socket: Socket | Server): number | undefined {
  const { _handle: handle } = socket as unknown as {
    readonly _handle: { readonly fd: number } | null;
  };
  return handle === null || handle.fd < 0 ? undefined : handle.fd;
}
