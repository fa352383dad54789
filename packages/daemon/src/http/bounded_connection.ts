/**
 * An outgoing HTTP connection that can be closed or slowed by its calls.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher, errors } from "undici";

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

/** Connects again when a call comes after its connection was closed. */
export class BoundedConnection extends Client {
  readonly #onFault: (fault: ConnectionFault) => void;
  readonly #current: { socket: Socket | undefined; isSlowed: boolean };

  constructor(
    origin: URL,
    options: BoundedConnectionOptions,
    onFault: (fault: ConnectionFault) => void,
  ) {
    const current: { socket: Socket | undefined; isSlowed: boolean } = {
      socket: undefined,
      isSlowed: false,
    };
    super(origin, {
      ...options,
      connect: (connectOptions, callback) => {
        options.connect(connectOptions, (...result) => {
          current.socket = result[1] ?? undefined;
          current.isSlowed = false;
          callback(...result);
        });
      },
    });
    this.#current = current;
    this.#onFault = onFault;
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
