/**
 * An outgoing HTTP connection that can be closed or slowed by its calls.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher, errors } from "undici";
import { wasReset } from "./connection_resets.js";
import { readTcpState } from "./tcp_state.js";
import type { ConnectionEnd } from "./whole_response.js";

/** Why a connection can't be used for another call. */
export type ConnectionFault =
  /** A response belongs to another call, or it can't be told whether it does. */
  | "foreignResponse"
  /** Nothing in the response says which call it belongs to. */
  | "unattributedResponse"
  /** A server that states an invalid status doesn't speak HTTP. */
  | "invalidStatus"
  /** Handling the response costs more than its bytes are worth. */
  | "wastefulResponse"
  /** More informational responses than a server has reason to send. */
  | "tooManyInformationalResponses"
  /** More bytes or header fields than a response may have. */
  | "oversizedResponse"
  /** Ended to free memory. */
  | "evictedResponse";

/** A handler that is told which connection its call uses. */
export interface ConnectionHandler extends Dispatcher.DispatchHandlers {
  onConnection?(connection: BoundedConnection): void;
}

export type BoundedConnectionOptions = Client.Options & {
  readonly connect: buildConnector.connector;
};

/**
 * The HTTP library puts what it hasn't parsed back when it is paused in the
 * middle of a read, and reads more when it goes on. With small parts, it holds a
 * bounded number of bytes however often that happens.
 */
const SLOWED_READ_BYTES = 4096;

/**
 * A server that closes without having read the whole request resets the
 * connection next.
 */
const RESET_AFTER_CLOSE_MS = 10;

export interface ConnectionEvents {
  readonly onFault: (fault: ConnectionFault) => void;
  /** The server has reset the connection. */
  readonly onReset?: () => void;
}

/** The connection in use; the library makes a new one after its end. */
interface CurrentConnection {
  socket: Socket | undefined;
  isSlowed: boolean;
  end: ConnectionEnd;
}

/** Connects again when a call comes after its connection was closed. */
export class BoundedConnection extends Client {
  readonly #onFault: (fault: ConnectionFault) => void;
  readonly #current: CurrentConnection;

  constructor(
    origin: URL,
    options: BoundedConnectionOptions,
    events: ConnectionEvents,
  ) {
    const current: CurrentConnection = {
      socket: undefined,
      isSlowed: false,
      end: "open",
    };
    super(origin, {
      ...options,
      connect: (connectOptions, callback) => {
        options.connect(connectOptions, (...result) => {
          const socket = result[1] ?? undefined;
          current.socket = socket;
          current.isSlowed = false;
          if (socket !== undefined) watchEnd(socket, current, events.onReset);
          callback(...result);
        });
      },
    });
    this.#current = current;
    this.#onFault = events.onFault;
  }

  /** To be read while the library reports a response as complete. */
  get connectionEnd(): ConnectionEnd {
    return this.#current.end;
  }

  /**
   * Called when the end of the connection will be that of the response: a reset
   * that follows a close at once then counts as the end.
   */
  awaitReset(): void {
    const { socket } = this.#current;
    if (socket === undefined) return;
    // Otherwise Node.js would end and destroy the socket meanwhile.
    socket.allowHalfOpen = true;
    const emit = socket.emit.bind(socket);
    socket.emit = (event: string, ...values: unknown[]): boolean => {
      if (event !== "end") return emit(event, ...values);
      setTimeout(() => {
        if (!socket.destroyed) emit(event);
      }, RESET_AFTER_CLOSE_MS);
      return true;
    };
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: ConnectionHandler,
  ): boolean {
    handler.onConnection?.(this);
    return super.dispatch(options, handler);
  }

  /**
   * Closes the connection, so that nothing that may still come on it is taken
   * for the response to another call. Called before the call is reported.
   */
  closeFaulty(fault: ConnectionFault): void {
    const { socket } = this.#current;
    if (socket === undefined || socket.destroyed) return;
    // Without an error, the library would take the end for the end of a body.
    socket.destroy(new errors.InformationalError("The response is faulty"));
    this.#onFault(fault);
  }

  /** Called when the parsing of a response is paused. */
  slowReads(): void {
    const { socket, isSlowed } = this.#current;
    if (socket === undefined || isSlowed) return;
    this.#current.isSlowed = true;
    const read = socket.read.bind(socket) as (bytes?: number) => Buffer | null;
    socket.read = () =>
      socket.readableLength > SLOWED_READ_BYTES
        ? read(SLOWED_READ_BYTES)
        : read();
  }
}

/** Prepends the listeners so that they run before the HTTP library's. */
function watchEnd(
  socket: Socket,
  current: CurrentConnection,
  onReset: (() => void) | undefined,
): void {
  function record(end: ConnectionEnd): void {
    current.end = end;
    if (end === "reset") onReset?.();
    // All listeners of the event run before the next microtask.
    queueMicrotask(() => {
      current.end = "open";
    });
  }
  socket.prependListener("error", () => {
    record("reset");
  });
  socket.prependListener("end", () => {
    if (wasReset(socket)) record("reset");
    else record(hasTakenAll(socket) ? "closed" : "closedEarly");
  });
}

/** Whether the other side's kernel has all that was written. */
function hasTakenAll(socket: Socket): boolean {
  if (socket.writableLength > 0) return false;
  return readTcpState(socket)?.isAllAcked ?? true;
}
